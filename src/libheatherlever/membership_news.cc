#include <algorithm>
#include <utility>

#include "membership_impl.h"
#include "neighbor_selection.h"

namespace heatherlever {
namespace {

// Keys of the news log.
constexpr char kMemberPrefix = 'm';
constexpr char kEntryPrefix = 'e';

// News of more than this many full messages is not passed on.
constexpr std::size_t kBulkMessages = 2;

std::string MemberKey(const std::string& id) {
  return kMemberPrefix + id;
}

std::string EntryKey(const std::string& key) {
  return kEntryPrefix + key;
}

}  // namespace

Membership::Impl::Impl(const MembershipOptions& options,
                       MemberRecord self,
                       std::uint64_t seed,
                       Instant now)
    : options_(options),
      self_(std::move(self)),
      random_(seed),
      prober_(options, random_()),
      last_event_(now),
      next_pick_(now),
      last_sync_(now) {
  table_.Merge(self_, now);
  news_.Record(MemberKey(self_.id), "");
}

void Membership::Impl::Begin(Instant now) {
  now_ = now;
  const Duration gap = now - std::exchange(last_event_, now);
  if (gap > options_.watched_suspect_after) {
    actions_.emplace_back(OwnPause{gap});
    // The silence was this host's own.
    prober_.Reset(now);
    table_.ResetSuspicions(now);
  }
}

MembershipActions Membership::Impl::End() {
  if (std::exchange(neighbors_outdated_, false)) {
    UpdateNeighbors();
  }
  SendUrgentNews();
  return std::exchange(actions_, {});
}

void Membership::Impl::UpdateNeighbors() {
  neighbors_ = SelectNeighbors(table_, self_, options_);
  prober_.SetNeighbors(neighbors_, now_);
  for (const std::string& peer : news_.Peers()) {
    if (neighbors_.count(peer) == 0 && followers_.count(peer) == 0) {
      news_.RemovePeer(peer);
    }
  }
  for (const std::string& peer : neighbors_) {
    news_.AddPeer(peer);
  }
}

void Membership::Impl::SendUrgentNews() {
  const std::set<std::string> urgent = std::exchange(urgent_, {});
  if (urgent.empty()) {
    return;
  }
  std::set<std::string> peers = watched_;
  for (const std::string& peer : news_.Peers()) {
    peers.insert(peer);
  }
  for (const std::string& peer : peers) {
    MembershipMessage message = Make(Kind::kGossip);
    for (const std::string& key : urgent) {
      if (news_.MarkKnown(key, peer)) {
        AddNews(key, message);
      }
    }
    if (!IsEmpty(message)) {
      Send(peer, std::move(message));
    }
  }
}

void Membership::Impl::NoteChange(
    const std::string& id,
    const std::optional<MemberTable::Member>& before) {
  const MemberTable::Member* after = table_.Find(id);
  if (after == nullptr) {
    neighbors_outdated_ = true;
    return;
  }
  const bool same =
      before.has_value() && before->state() == after->state() &&
      before->record.version.incarnation == after->record.version.incarnation;
  if (!same) {
    neighbors_outdated_ = true;
    actions_.emplace_back(MemberChanged{after->record, after->state()});
  }
}

void Membership::Impl::TakeRecord(const MemberRecord& record,
                                  const std::string& source,
                                  Spread spread) {
  if (record.id == self_.id) {
    TakeOwnRecord(record.version, source);
    return;
  }
  if (record.version.incarnation == 0) {
    return;
  }
  const MemberTable::Member* known = table_.Find(record.id);
  const auto before = known == nullptr ? std::nullopt : std::optional(*known);
  const std::string key = MemberKey(record.id);
  if (!table_.Merge(record, now_)) {
    if (before && before->record.version == record.version) {
      news_.MarkKnown(key, source);
    }
    return;
  }
  if (spread == Spread::kYes) {
    news_.Record(key, source);
  }
  if (record.version.state == MemberState::kAlive) {
    prober_.OnEvidence(record.id, now_);
  }
  if (record.version.state == MemberState::kLeaving) {
    urgent_.insert(key);
  }
  NoteChange(record.id, before);
}

void Membership::Impl::TakeOwnRecord(const MemberVersion& version,
                                     const std::string& source) {
  const MemberVersion& own = self_.version;
  if (version.incarnation > own.incarnation) {
    actions_.emplace_back(Superseded{version.incarnation});
    return;
  }
  if (own.state == MemberState::kLeaving && version < own) {
    // The announcement did not reach the source, and digests leave hosts that
    // have ended out, so that no comparison of tables brings it there.
    MembershipMessage message = Make(Kind::kGossip);
    message.members.push_back(self_);
    Send(source, std::move(message));
    return;
  }
  const bool accused = own < version && version.state != MemberState::kLeaving;
  if (accused) {
    SetOwnVersion(
        {own.incarnation, version.refutation + 1, MemberState::kAlive});
  }
}

void Membership::Impl::SetOwnVersion(const MemberVersion& version) {
  self_.version = version;
  table_.Merge(self_, now_);
  news_.Record(MemberKey(self_.id), "");
  urgent_.insert(MemberKey(self_.id));
}

void Membership::Impl::TakeEntry(const GossipEntry& entry,
                                 const std::string& source,
                                 Spread spread) {
  const std::string key = EntryKey(entry.key);
  if (entries_.Merge(entry)) {
    if (spread == Spread::kYes) {
      news_.Record(key, source);
    }
    if (entry.urgent) {
      urgent_.insert(key);
    }
    if (!source.empty()) {
      actions_.emplace_back(EntryChanged{entry});
    }
    return;
  }
  if (entries_.Find(entry.key)->version == entry.version) {
    news_.MarkKnown(key, source);
  }
}

void Membership::Impl::TakeNews(const MembershipMessage& message) {
  // A whole table comes to a host that has just started, or after a long cut.
  // The neighbors know it already, or get it by their own comparison.
  const std::size_t count = message.members.size() + message.entries.size();
  const Spread spread = count > kBulkMessages * options_.max_news_per_message
                            ? Spread::kNo
                            : Spread::kYes;
  for (const MemberRecord& record : message.members) {
    TakeRecord(record, message.sender, spread);
  }
  for (const GossipEntry& entry : message.entries) {
    TakeEntry(entry, message.sender, spread);
  }
}

void Membership::Impl::AddNews(const std::string& key,
                               MembershipMessage& message) const {
  const std::string name = key.substr(1);
  if (key.front() == kMemberPrefix) {
    const MemberTable::Member* member = table_.Find(name);
    if (member != nullptr) {
      message.members.push_back(member->record);
    }
    return;
  }
  message.entries.push_back(*entries_.Find(name));
}

void Membership::Impl::AddPendingNews(const std::string& to,
                                      MembershipMessage& message) {
  // A peer that has never been told of this host may not have its address.
  const std::string own = MemberKey(self_.id);
  if (news_.MarkKnown(own, to)) {
    AddNews(own, message);
  }
  for (const std::string& key : news_.Take(to, options_.max_news_per_message)) {
    AddNews(key, message);
  }
}

MembershipActions Membership::Impl::OnHostList(
    const std::vector<ListedHost>& hosts,
    Instant now) {
  Begin(now);
  const std::map<std::string, MemberTable::Member> before = table_.members();
  table_.MergeList(hosts, self_.id, now);
  for (const auto& [id, member] : before) {
    NoteChange(id, member);
  }
  for (const auto& [id, member] : table_.members()) {
    if (before.count(id) == 0) {
      NoteChange(id, std::nullopt);
    }
  }
  return End();
}

MembershipActions Membership::Impl::Publish(const GossipEntry& entry,
                                            Instant now) {
  Begin(now);
  TakeEntry(entry, "", Spread::kYes);
  return End();
}

MembershipActions Membership::Impl::AnnounceLeaving(Instant now) {
  Begin(now);
  MemberVersion version = self_.version;
  version.state = MemberState::kLeaving;
  SetOwnVersion(version);
  return End();
}

}  // namespace heatherlever
