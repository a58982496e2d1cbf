#include "heatherlever/config_tracker.h"

#include <algorithm>

namespace heatherlever {
namespace {

std::size_t CountOf(const std::set<std::string>& wanted,
                    const std::set<std::string>& names) {
  return static_cast<std::size_t>(
      std::count_if(wanted.begin(), wanted.end(),
                    [&](const auto& name) { return names.contains(name); }));
}

}  // namespace

ConfigTracker::ConfigTracker(Instant started, Duration peer_wait)
    : started_(started), peer_wait_(peer_wait) {}

ConfigOffer ConfigTracker::Offer(const ConfigRecord& record) {
  if (record.version < version()) {
    return ConfigOffer::kOlder;
  }
  if (current_ && record.version == current_->version) {
    return record.digest == current_->digest ? ConfigOffer::kKnown
                                             : ConfigOffer::kForked;
  }
  if (record.version <= 0) {
    return ConfigOffer::kOlder;
  }
  current_ = record;
  history_[record.version] = record.digest;
  return ConfigOffer::kApplied;
}

void ConfigTracker::StoreHas(std::int64_t version) {
  store_answered_ = true;
  newest_heard_ = std::max(newest_heard_, version);
}

void ConfigTracker::SetRegionPeers(const std::set<std::string>& names) {
  region_peers_ = names;
}

void ConfigTracker::PeerHas(const std::string& name,
                            std::int64_t version,
                            bool ready) {
  if (!ready) {
    failed_.insert(name);
    return;
  }
  failed_.erase(name);
  answered_.insert(name);
  newest_heard_ = std::max(newest_heard_, version);
}

// An earlier answer of the peer still counts: versions never go down.
void ConfigTracker::PeerFailed(const std::string& name) {
  failed_.insert(name);
}

bool ConfigTracker::Ready(Instant now) {
  if (ready_) {
    return true;
  }
  const bool has_newest = version() > 0 && version() >= newest_heard_;
  const bool heard_enough =
      store_answered_ || HeardMajority() ||
      (now - started_ >= peer_wait_ && HeardEveryReachablePeer());
  ready_ = has_newest && heard_enough;
  return ready_;
}

std::int64_t ConfigTracker::version() const {
  return current_ ? current_->version : 0;
}

bool ConfigTracker::HeardMajority() const {
  return 2 * CountOf(region_peers_, answered_) > region_peers_.size();
}

bool ConfigTracker::HeardEveryReachablePeer() const {
  return CountOf(region_peers_, answered_) > 0 &&
         std::all_of(region_peers_.begin(), region_peers_.end(),
                     [this](const std::string& name) {
                       return answered_.contains(name) ||
                              failed_.contains(name);
                     });
}

}  // namespace heatherlever
