#ifndef HEATHERLEVER_POOL_SUMMARY_H_
#define HEATHERLEVER_POOL_SUMMARY_H_

#include <array>
#include <cstddef>

#include "heatherlever/instant.h"
#include "heatherlever/rank.h"

namespace heatherlever {

/// The state of a pool, for load reports.
struct PoolSummary {
  /// Slots of all servers that take new work.
  int slots = 0;
  /// Slots that may be used now, at or below `slots`.
  int usable_slots = 0;
  /// Usable slots that are free.
  int free_slots = 0;
  /// Slots taken, those in quarantine among them.
  int in_flight = 0;
  int ejected_servers = 0;
  int draining_servers = 0;
  /// Requests that wait, by rank.
  std::array<std::size_t, kRankCount> queued{};
  /// Expected wait of a new request, by rank.
  std::array<Duration, kRankCount> expected_wait{};
  /// Share of the usable slots that is free, from 0 to 1.
  double headroom = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_SUMMARY_H_
