#ifndef HEATHERLEVER_MEMBERSHIP_ACTION_H_
#define HEATHERLEVER_MEMBERSHIP_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "heatherlever/gossip_entry.h"
#include "heatherlever/instant.h"
#include "heatherlever/member_record.h"
#include "heatherlever/membership_message.h"

namespace heatherlever {

/// Send this message to a host. Losing it is harmless.
struct SendMembershipMessage {
  std::string to;
  std::string ip;
  std::uint16_t port = 0;
  MembershipMessage message;
};

/// A host is new, or its state or incarnation has changed.
struct MemberChanged {
  MemberRecord record;
  MemberState state = MemberState::kAlive;
};

/// Whether this host itself gets answers from a watched host has changed. The
/// state may be alive all the same, if others get answers.
struct ReachabilityChanged {
  std::string id;
  bool reachable = false;
};

/// A newer version of an entry arrived from a peer.
struct EntryChanged {
  GossipEntry entry;
};

/// This process did not run for longer than others take to suspect it. What it
/// believed before may be out of date.
struct OwnPause {
  Duration length{};
};

/// A later incarnation of this host is running; this one has to stop.
struct Superseded {
  std::uint64_t incarnation = 0;
};

/// What the caller of Membership has to do or may want to know.
using MembershipAction = std::variant<SendMembershipMessage,
                                      MemberChanged,
                                      ReachabilityChanged,
                                      EntryChanged,
                                      OwnPause,
                                      Superseded>;
using MembershipActions = std::vector<MembershipAction>;

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBERSHIP_ACTION_H_
