#ifndef LIBHEATHERLEVER_MEMBERSHIP_IMPL_H_
#define LIBHEATHERLEVER_MEMBERSHIP_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "heatherlever/membership.h"
#include "news_log.h"
#include "prober.h"

namespace heatherlever {

/// The state of a Membership. Its functions are in three sources:
/// membership_news.cc (what was learned and whom to tell),
/// membership_messages.cc (answers to peers) and membership_timers.cc (probes
/// and suspicions).
class Membership::Impl {
 public:
  Impl(const MembershipOptions& options,
       MemberRecord self,
       std::uint64_t seed,
       Instant now);

  MembershipActions OnHostList(const std::vector<ListedHost>& hosts,
                               Instant now);
  MembershipActions OnMessage(const MembershipMessage& message, Instant now);
  MembershipActions OnTick(Instant now);
  MembershipActions Publish(const GossipEntry& entry, Instant now);
  MembershipActions AnnounceLeaving(Instant now);
  void SetWatched(const std::set<std::string>& ids, Instant now) {
    watched_ = ids;
    watched_.erase(self_.id);
    prober_.SetWatched(watched_, now);
  }

  const MemberTable& table() const { return table_; }
  const GossipMap& entries() const { return entries_; }
  const MemberRecord& self() const { return self_; }
  const Prober& prober() const { return prober_; }
  const std::set<std::string>& neighbors() const { return neighbors_; }

 private:
  using Kind = MembershipMessage::Kind;

  // A probe on behalf of another host.
  struct Relay {
    std::string requester;
    std::uint64_t sequence = 0;
    Instant expires{};
  };

  // Every event begins with Begin() and ends with End().
  void Begin(Instant now);
  MembershipActions End();
  void UpdateNeighbors();
  void SendUrgentNews();

  // News.
  // Whether what was learned is passed on to the neighbors.
  enum class Spread { kYes, kNo };
  void TakeRecord(const MemberRecord& record,
                  const std::string& source,
                  Spread spread);
  void TakeOwnRecord(const MemberVersion& version, const std::string& source);
  void TakeEntry(const GossipEntry& entry,
                 const std::string& source,
                 Spread spread);
  void TakeNews(const MembershipMessage& message);
  void SetOwnVersion(const MemberVersion& version);
  void AddNews(const std::string& key, MembershipMessage& message) const;
  void AddPendingNews(const std::string& to, MembershipMessage& message);
  void NoteChange(const std::string& id,
                  const std::optional<MemberTable::Member>& before);

  // Messages.
  MembershipMessage Make(Kind kind) const;
  void Send(const std::string& to, MembershipMessage message);
  /// Adds what the sender has to hear of its own record.
  void CheckSender(const MembershipMessage& message, MembershipMessage& reply);
  void HandleProbe(const MembershipMessage& message, MembershipMessage& reply);
  void HandleAck(const MembershipMessage& message, MembershipMessage& reply);
  void HandleProbeRequest(const MembershipMessage& message,
                          MembershipMessage& reply);
  void HandleIndirectAck(const MembershipMessage& message,
                         MembershipMessage& reply);
  void HandleGossip(const MembershipMessage& message, MembershipMessage& reply);
  void HandleVersions(const MembershipMessage& message,
                      MembershipMessage& reply);
  void CompareMembers(const MembershipMessage& message,
                      MembershipMessage& reply) const;
  void CompareEntries(const MembershipMessage& message,
                      MembershipMessage& reply) const;
  static bool IsEmpty(const MembershipMessage& reply);

  // Timers.
  void PickAtRandom();
  void SendProbe(const Prober::Probe& probe);
  void AskHelpers(const Prober::Probe& probe);
  void Suspect(const std::string& id);
  void ExpireSuspicions();
  void ExpirePeers();

  MembershipOptions options_;
  MemberRecord self_;
  std::mt19937_64 random_;
  MemberTable table_;
  GossipMap entries_;
  NewsLog news_;
  Prober prober_;
  std::set<std::string> neighbors_;
  std::set<std::string> watched_;
  // Hosts that count this one as their neighbor, by their last probe.
  std::map<std::string, Instant> followers_;
  std::map<std::uint64_t, Relay> relays_;
  std::set<std::string> urgent_;
  bool neighbors_outdated_ = true;

  Instant now_{};
  Instant last_event_{};
  Instant next_pick_{};
  Instant last_sync_{};
  MembershipActions actions_;
};

}  // namespace heatherlever

#endif  // LIBHEATHERLEVER_MEMBERSHIP_IMPL_H_
