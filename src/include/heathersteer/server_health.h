#ifndef HEATHERSTEER_SERVER_HEALTH_H_
#define HEATHERSTEER_SERVER_HEALTH_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Passive health checking of a backend server from the results of requests.
/// Failures suspend the server for a time that doubles while they go on;
/// refusals and slow responses lower its share of requests.
class ServerHealth {
 public:
  /// Records a response that came `service_time` after the request was sent.
  void RecordResponse(heatherlever::Duration service_time,
                      heatherlever::Instant now);

  /// Records that the server refused a request although it had free capacity.
  void RecordRefusal(heatherlever::Instant now);

  /// Records a failed, broken or unresponsive connection.
  void RecordFailure(heatherlever::Instant now);

  /// Forgets failures that were not the server's own.
  void Reinstate();

  /// Whether requests may be sent to the server now.
  bool usable(heatherlever::Instant now) const {
    return now >= suspended_until_;
  }

  /// Time until which the server may have restarted since it failed.
  heatherlever::Instant probation_end() const { return probation_until_; }

  /// Share of recent requests that the server refused despite free capacity, 0
  /// to 1.
  double refusal_share() const { return refusal_share_; }

  /// Moving average of the service time; 0 before the first response.
  heatherlever::Duration mean_service_time() const {
    return mean_service_time_;
  }

 private:
  int consecutive_failures_ = 0;
  double refusal_share_ = 0;
  heatherlever::Duration mean_service_time_{0};
  heatherlever::Instant suspended_until_{0};
  heatherlever::Instant probation_until_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_HEALTH_H_
