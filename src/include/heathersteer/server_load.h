#ifndef HEATHERSTEER_SERVER_LOAD_H_
#define HEATHERSTEER_SERVER_LOAD_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Estimates the number of requests at a backend server: those of this host are
/// counted, those of other hosts follow from the server's last report.
class ServerLoad {
 public:
  void Sent() { ++local_in_flight_; }

  /// Counts a request of this host that got its response or whose connection
  /// was closed.
  void Finished() { --local_in_flight_; }

  /// Records how many requests the server runs and queues, as reported with a
  /// response to a request that is still counted as in flight.
  void Report(int running, int queued, heatherlever::Instant now);

  /// Estimated number of requests at the server.
  double Estimate(heatherlever::Instant now) const;

  int local_in_flight() const { return local_in_flight_; }

  /// Time since the server's last report.
  heatherlever::Duration report_age(heatherlever::Instant now) const {
    return now - reported_at_;
  }

 private:
  int local_in_flight_ = 0;
  double others_in_flight_ = 0;
  heatherlever::Instant reported_at_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_LOAD_H_
