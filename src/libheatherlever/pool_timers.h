#ifndef HEATHERLEVER_POOL_TIMERS_H_
#define HEATHERLEVER_POOL_TIMERS_H_

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "heatherlever/instant.h"

namespace heatherlever {

/// A point in time at which a pool has to check a request or an attempt.
struct PoolTimer {
  enum class Purpose {
    /// A request's deadline.
    kDeadline,
    /// An attempt has taken far longer than expected.
    kOverdue,
    /// Latest time at which the slot of an attempt is released.
    kQuarantine,
  };

  Instant at{0};
  Purpose purpose = Purpose::kDeadline;
  /// Request or attempt.
  std::uint64_t id = 0;
};

/// Timers in the order of their instants. Timers are never cancelled: whoever
/// takes one has to check whether it still applies.
class PoolTimers {
 public:
  void Add(const PoolTimer& timer);

  /// Takes the earliest timer if it is due by `now`.
  std::optional<PoolTimer> PopDue(Instant now);

  std::optional<Instant> next() const;

 private:
  struct Entry {
    PoolTimer timer;
    std::uint64_t sequence = 0;
  };
  struct Later {
    bool operator()(const Entry& left, const Entry& right) const;
  };

  std::priority_queue<Entry, std::vector<Entry>, Later> entries_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_TIMERS_H_
