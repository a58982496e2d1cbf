#ifndef HEATHERLEVER_SENDER_USE_H_
#define HEATHERLEVER_SENDER_USE_H_

namespace heatherlever {

/// Use of a pool by one host of another region.
struct SenderUse {
  /// Its requests that run or wait in the pool.
  int in_flight = 0;
  /// Recent requests that it would have moved to the pool if the pool had had
  /// capacity.
  int unmet_demand = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_SENDER_USE_H_
