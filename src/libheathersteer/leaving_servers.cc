#include "heathersteer/leaving_servers.h"

namespace heathersteer {

using heatherlever::Instant;

bool LeavingServers::Record(const std::string& id,
                            std::int64_t started_ms,
                            Instant now) {
  if (started_ms == 0 || !since_.try_emplace({id, started_ms}, now).second) {
    return false;
  }
  order_.emplace_back(id, started_ms);
  if (order_.size() > kMaxIncarnations) {
    since_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

std::optional<Instant> LeavingServers::Since(const std::string& id,
                                             std::int64_t started_ms) const {
  const auto found = since_.find({id, started_ms});
  return found == since_.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace heathersteer
