#ifndef HEATHERSTEER_SERVER_LOAD_H_
#define HEATHERSTEER_SERVER_LOAD_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Estimates how many requests a backend server holds: this host's own,
/// exactly, and those of other hosts by the server's last report.
class ServerLoad {
 public:
  void Sent() { ++local_in_flight_; }

  /// The answer of an own request has come or its connection is closed.
  void Finished() { --local_in_flight_; }

  /// The server reported, with an answer that is still counted as own, how many
  /// requests it runs and queues.
  void Report(int running, int waiting, heatherlever::Instant now);

  /// Requests at the server, estimated.
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
