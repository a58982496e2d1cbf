#ifndef HEATHERLEVER_MEMBERSHIP_MESSAGE_H_
#define HEATHERLEVER_MEMBERSHIP_MESSAGE_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "heatherlever/gossip_entry.h"
#include "heatherlever/member_record.h"

namespace heatherlever {

/// A message between the Membership objects of two entry hosts.
struct MembershipMessage {
  enum class Kind {
    /// Asks for an acknowledgement.
    kProbe,
    kAck,
    /// Asks the receiver to probe `target`.
    kProbeRequest,
    /// `target` answered the receiver of a kProbeRequest.
    kIndirectAck,
    /// Carries news only.
    kGossip,
    /// Lists the sender's versions; the answer brings what it lacks.
    kVersions,
  };
  static constexpr std::size_t kKindCount = 6;

  struct MemberVersionOf {
    std::string id;
    MemberVersion version;
  };
  struct EntryVersionOf {
    std::string key;
    std::uint64_t version = 0;
  };

  Kind kind = Kind::kProbe;
  /// Host that sent this, and its incarnation.
  std::string sender;
  std::uint64_t incarnation = 0;
  /// Ties an answer to its probe.
  std::uint64_t sequence = 0;
  /// False for a probe to a host picked at random, which brings no news.
  bool neighbor = false;
  std::string target;
  std::uint64_t members_digest = 0;
  std::uint64_t entries_digest = 0;
  /// News.
  std::vector<MemberRecord> members;
  std::vector<GossipEntry> entries;
  /// kVersions: what the sender has, of the parts whose digests differed.
  bool lists_members = false;
  bool lists_entries = false;
  std::vector<MemberVersionOf> member_versions;
  std::vector<EntryVersionOf> entry_versions;
  /// kGossip: what the sender asks for.
  std::vector<std::string> wanted_members;
  std::vector<std::string> wanted_entries;
};

/// The message as CBOR.
std::string EncodeMembershipMessage(const MembershipMessage& message);

/// The message of CBOR bytes. Fails with kInvalidArgument for bytes that are
/// no message.
absl::StatusOr<MembershipMessage> DecodeMembershipMessage(
    const std::string& bytes);

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBERSHIP_MESSAGE_H_
