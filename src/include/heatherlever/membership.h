#ifndef HEATHERLEVER_MEMBERSHIP_H_
#define HEATHERLEVER_MEMBERSHIP_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/gossip_map.h"
#include "heatherlever/member_table.h"
#include "heatherlever/membership_action.h"
#include "heatherlever/membership_options.h"

namespace heatherlever {

/// One entry host's view of all entry hosts, and the values that they spread
/// among themselves. Each event returns the actions that follow from it.
///
/// A view is a hint. Views differ between hosts while news travels and during
/// cuts; only the membership epoch decides who may act.
class Membership {
 public:
  /// How often OnTick() has to be called.
  static constexpr Duration kTickInterval{100'000};

  /// `self` describes this host; its incarnation has to be higher than that of
  /// every earlier start of the host, and at least 1. `seed` differs between
  /// hosts. Fails with kInvalidArgument for an empty name, incarnation 0 or
  /// times that are not positive.
  static absl::StatusOr<std::unique_ptr<Membership>> Create(
      const MembershipOptions& options,
      const MemberRecord& self,
      std::uint64_t seed,
      Instant now);

  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// The platform's list of hosts was read.
  MembershipActions OnHostList(const std::vector<ListedHost>& hosts,
                               Instant now);

  /// A message from a peer arrived. The first action that is addressed to its
  /// sender may travel as the answer to the request that brought the message;
  /// its address is empty if the sender's is not yet known.
  MembershipActions OnMessage(const MembershipMessage& message, Instant now);

  /// Called every kTickInterval.
  MembershipActions OnTick(Instant now);

  /// Replaces the hosts that need to be noticed soon when they fall silent,
  /// such as the owner and deputy of the pools that this host takes part in.
  void SetWatched(const std::set<std::string>& ids, Instant now);

  /// Spreads a value. No effect if the known version is as high.
  MembershipActions Publish(const GossipEntry& entry, Instant now);

  /// Tells the peers that this host is about to stop.
  MembershipActions AnnounceLeaving(Instant now);

  const MemberTable& table() const;
  const GossipMap& entries() const;

  /// This host's own record.
  const MemberRecord& self() const;

  /// Whether a watched host answers this host's own probes. True for others.
  bool Reachable(const std::string& id) const;

  /// Hosts that this host probes as its neighbors.
  const std::set<std::string>& neighbors() const;

 private:
  class Impl;
  explicit Membership(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBERSHIP_H_
