#ifndef HEATHERLEVER_POOL_REQUEST_H_
#define HEATHERLEVER_POOL_REQUEST_H_

#include <cstdint>
#include <string>

#include "heatherlever/instant.h"
#include "heatherlever/rank.h"

namespace heatherlever {

/// Identifies a request at one PoolQueue; chosen by whoever submits it.
using RequestId = std::uint64_t;

/// Identifies an attempt; chosen by the PoolQueue, never used twice, never 0.
using AttemptId = std::uint64_t;

/// A request submitted to a PoolQueue.
struct PoolRequest {
  RequestId id = 0;
  /// Name of its kind of work.
  std::string kind;
  Rank rank = Rank::kThird;
  /// Caller, for fair queuing and coalescing.
  std::string caller;
  /// Share of the pool's slots, from 0 to 1, guaranteed to the kind under
  /// overload. All requests of a kind carry the same value.
  double floor_share = 0;
  /// Instant by which the request ends, with whatever outcome.
  Instant deadline{0};
  /// Time that a warm backend server is expected to spend on it; used until
  /// enough of the kind have been measured.
  Duration service_time{0};
  bool idempotent = false;
  /// Idempotent requests of one caller and kind with the same digest share
  /// one attempt; 0 shares with none.
  std::uint64_t coalescing_digest = 0;
  /// Whether it may be dispatched at once; if not, only after MarkReady.
  bool ready = true;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_REQUEST_H_
