#ifndef HEATHERLEVER_SENDER_USE_H_
#define HEATHERLEVER_SENDER_USE_H_

namespace heatherlever {

/// What one host of another region does with a pool's headroom.
struct SenderUse {
  /// Its requests that run or wait in the pool.
  int in_flight = 0;
  /// Requests that it would have moved to the pool lately had there been room.
  int unmet_demand = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_SENDER_USE_H_
