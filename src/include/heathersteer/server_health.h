#ifndef HEATHERSTEER_SERVER_HEALTH_H_
#define HEATHERSTEER_SERVER_HEALTH_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// What the answers of a backend server tell of its health. Failures suspend it
/// for a time that doubles while they go on; refusals and slow answers lower
/// its share.
class ServerHealth {
 public:
  /// An answer came `service_time` after the request was sent.
  void RecordResponse(heatherlever::Duration service_time,
                      heatherlever::Instant now);

  /// The server refused a request although its load left room.
  void RecordRefusal(heatherlever::Instant now);

  /// No connection, or one that broke or stayed silent.
  void RecordFailure(heatherlever::Instant now);

  /// Whether requests may be sent now.
  bool usable(heatherlever::Instant now) const {
    return now >= suspended_until_;
  }

  /// Whether the server failed so lately that it may have started anew since.
  bool on_probation(heatherlever::Instant now) const {
    return now < probation_until_;
  }

  /// Share of recent requests that the server refused without need, 0 to 1.
  double refusal_share() const { return refusal_share_; }

  /// Mean service time; 0 before the first answer.
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
