#ifndef HEATHERLEVER_FLOOR_ACCOUNT_H_
#define HEATHERLEVER_FLOOR_ACCOUNT_H_

#include "heatherlever/instant.h"

namespace heatherlever {

/// Accounts the slot time used by a kind of work against its floor. While the
/// account has credit, the kind is served before more urgent work.
class FloorAccount {
 public:
  /// Credits the floor, in slots, for the time since the last call. Credit and
  /// debt are both bounded, so that neither idle nor busy times before an
  /// overload have an effect during it.
  void Accrue(double floor_slots, Duration service_time, Instant now);

  /// Charges slot time; a negative time is refunded.
  void Charge(Duration slot_time);

  bool has_credit() const { return balance_us_ > 0; }

 private:
  double balance_us_ = 0;
  double max_balance_us_ = 0;
  Instant updated_{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_FLOOR_ACCOUNT_H_
