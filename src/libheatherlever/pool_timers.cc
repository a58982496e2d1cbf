#include "pool_timers.h"

#include <tuple>

namespace heatherlever {

void PoolTimers::Add(const PoolTimer& timer) {
  entries_.push({timer, next_sequence_++});
}

std::optional<PoolTimer> PoolTimers::PopDue(Instant now) {
  if (entries_.empty() || entries_.top().timer.at > now) {
    return std::nullopt;
  }
  const PoolTimer timer = entries_.top().timer;
  entries_.pop();
  return timer;
}

std::optional<Instant> PoolTimers::next() const {
  if (entries_.empty()) {
    return std::nullopt;
  }
  return entries_.top().timer.at;
}

bool PoolTimers::Later::operator()(const Entry& left,
                                   const Entry& right) const {
  return std::tie(left.timer.at, left.sequence) >
         std::tie(right.timer.at, right.sequence);
}

}  // namespace heatherlever
