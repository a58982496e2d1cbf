#ifndef HEATHERLEVER_POOL_DRAIN_H_
#define HEATHERLEVER_POOL_DRAIN_H_

#include <string>

namespace heatherlever {

/// How far a pool is drained.
struct PoolDrain {
  std::string service;
  std::string region;
  /// Share of the pool's traffic to move to other regions, from 0 to 1: that of
  /// its least drained backend server.
  double share = 0;
  /// Slots that the drains leave, rounded down.
  int remaining_slots = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_DRAIN_H_
