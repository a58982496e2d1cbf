#include "heather-entry/headroom_pace.h"

namespace heather_entry {
namespace {

// A third of PlacementOptions::stale_age, so that a summary may be lost or
// late.
constexpr heatherlever::Duration kRepeatInterval = std::chrono::seconds(1);

}  // namespace

bool HeadroomPace::Due(const PoolName& pool,
                       const std::string& payload,
                       heatherlever::Instant now) {
  const auto found = published_.find(pool);
  if (found != published_.end() && found->second.payload == payload &&
      now - found->second.at < kRepeatInterval) {
    return false;
  }
  published_[pool] = {payload, now};
  return true;
}

}  // namespace heather_entry
