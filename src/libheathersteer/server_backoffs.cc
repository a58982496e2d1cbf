#include "heathersteer/server_backoffs.h"

#include <algorithm>

namespace heathersteer {

using heatherlever::Duration;
using heatherlever::Instant;

// A server that asks for more than the maximum more likely means another unit.
// It is asked again from time to time, as nothing else tells that it recovered.
Instant ServerBackoffs::Record(const std::string& id,
                               std::int64_t started_ms,
                               std::chrono::duration<double> delay,
                               Instant now) {
  const std::chrono::duration<double> max_delay = kMaxDelay;
  // Not a number compares false.
  if (!(delay.count() > 0)) {
    return Until(id, started_ms);
  }
  const Instant end =
      now + std::chrono::duration_cast<Duration>(std::min(delay, max_delay));
  if (started_ms == 0) {
    return end;
  }
  // Responses may arrive in another order than they were given.
  Instant& until = until_[{id, started_ms}];
  until = std::max(until, end);
  const Instant result = until;
  Trim(now);
  return result;
}

Instant ServerBackoffs::Until(const std::string& id,
                              std::int64_t started_ms) const {
  const auto found = until_.find({id, started_ms});
  return found == until_.end() ? Instant(0) : found->second;
}

void ServerBackoffs::Trim(Instant now) {
  if (until_.size() <= kMaxIncarnations) {
    return;
  }
  std::erase_if(until_, [&](const auto& entry) { return entry.second <= now; });
  if (until_.size() > kMaxIncarnations) {
    until_.erase(std::min_element(
        until_.begin(), until_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

}  // namespace heathersteer
