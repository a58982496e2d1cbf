#ifndef HEATHERLEVER_CONFIG_TRACKER_H_
#define HEATHERLEVER_CONFIG_TRACKER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "heatherlever/config_record.h"
#include "heatherlever/instant.h"

namespace heatherlever {

/// What became of a configuration that was offered to a ConfigTracker.
enum class ConfigOffer {
  /// It is in force now.
  kApplied,
  /// It was in force already.
  kKnown,
  /// A higher version is in force.
  kOlder,
  /// Another text is in force under the same version; it stays in force.
  kForked,
};

/// Names of the outcomes, indexed by ConfigOffer.
inline constexpr std::array<std::string_view, 4> kConfigOfferNames = {
    "applied", "known", "older", "forked"};

/// The configuration version in force on one entry host, and whether a starting
/// host knows enough to serve. See docs/design/configuration.md for the rule.
class ConfigTracker {
 public:
  /// `peer_wait` is how long a starting host without the store and without a
  /// majority of its region waits before the reachable peers are enough.
  ConfigTracker(Instant started, Duration peer_wait);

  /// Takes a configuration from the store or a peer. Applies it only if its
  /// version is higher than the one in force.
  ConfigOffer Offer(const ConfigRecord& record);

  /// The store answered that `version` is the newest (0: there is none).
  void StoreHas(std::int64_t version);

  /// The other members of the newest known epoch in this host's region.
  /// Answers of hosts that are no longer among them stop counting.
  void SetRegionPeers(const std::set<std::string>& names);

  /// A peer answered that `version` is in force there. `ready` is the peer's
  /// own readiness: the answer of a starting peer counts for nothing.
  void PeerHas(const std::string& name, std::int64_t version, bool ready);

  /// A peer did not answer.
  void PeerFailed(const std::string& name);

  /// Whether this host may serve. Once true, it stays so.
  bool Ready(Instant now);

  /// Version in force; 0 if there is none yet.
  std::int64_t version() const;
  const std::optional<ConfigRecord>& current() const { return current_; }

  /// Digest of each version that was in force, by version.
  const std::map<std::int64_t, std::string>& history() const {
    return history_;
  }

 private:
  bool HeardMajority() const;
  bool HeardEveryReachablePeer() const;

  Instant started_;
  Duration peer_wait_;
  std::optional<ConfigRecord> current_;
  std::map<std::int64_t, std::string> history_;
  /// Highest version that the store or a ready peer named.
  std::int64_t newest_heard_ = 0;
  bool store_answered_ = false;
  std::set<std::string> region_peers_;
  std::set<std::string> answered_;
  std::set<std::string> failed_;
  bool ready_ = false;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CONFIG_TRACKER_H_
