#include "heatherlever/membership.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include "neighbor_selection.h"
#include "news_log.h"
#include "prober.h"

namespace heatherlever {
namespace {

using Kind = MembershipMessage::Kind;

// Keys of the news log.
constexpr char kMemberPrefix = 'm';
constexpr char kEntryPrefix = 'e';

// News of more than this many full messages is not passed on.
constexpr std::size_t kBulkMessages = 2;

// A peer that has not sent a neighbor's probe for this many intervals no
// longer counts this host as its neighbor.
constexpr int kNeighborSilenceIntervals = 5;

std::string MemberKey(const std::string& id) {
  return kMemberPrefix + id;
}

std::string EntryKey(const std::string& key) {
  return kEntryPrefix + key;
}

bool AllPositive(const MembershipOptions& options) {
  const auto times = {options.random_probe_interval,
                      options.probe_interval,
                      options.watched_probe_interval,
                      options.probe_timeout,
                      options.suspect_after,
                      options.watched_suspect_after,
                      options.dead_after,
                      options.sync_interval};
  return std::all_of(times.begin(), times.end(),
                     [](Duration time) { return time > Duration(0); });
}

}  // namespace

class Membership::Impl {
 public:
  Impl(const MembershipOptions& options,
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
  void TakeOwnRecord(const MemberVersion& version);
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
    TakeOwnRecord(record.version);
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

void Membership::Impl::TakeOwnRecord(const MemberVersion& version) {
  const MemberVersion& own = self_.version;
  if (version.incarnation > own.incarnation) {
    actions_.emplace_back(Superseded{version.incarnation});
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

MembershipMessage Membership::Impl::Make(Kind kind) const {
  MembershipMessage message;
  message.kind = kind;
  message.sender = self_.id;
  message.incarnation = self_.version.incarnation;
  if (kind == Kind::kAck) {
    message.members_digest = table_.digest();
    message.entries_digest = entries_.digest();
  }
  return message;
}

void Membership::Impl::Send(const std::string& to, MembershipMessage message) {
  SendMembershipMessage action;
  action.to = to;
  if (const MemberTable::Member* member = table_.Find(to)) {
    action.ip = member->record.ip;
    action.port = member->record.port;
  }
  action.message = std::move(message);
  actions_.emplace_back(std::move(action));
}

bool Membership::Impl::IsEmpty(const MembershipMessage& reply) {
  return reply.kind == Kind::kGossip && reply.members.empty() &&
         reply.entries.empty() && reply.wanted_members.empty() &&
         reply.wanted_entries.empty();
}

void Membership::Impl::CheckSender(const MembershipMessage& message,
                                   MembershipMessage& reply) {
  const MemberTable::Member* known = table_.Find(message.sender);
  if (known == nullptr ||
      known->record.version.incarnation < message.incarnation) {
    reply.wanted_members.push_back(message.sender);
    return;
  }
  // A host that others hold for dead has to hear it to refute it, and an
  // earlier incarnation to stop.
  const MemberVersion& version = known->record.version;
  const bool doubted = version.state == MemberState::kSuspect ||
                       version.state == MemberState::kDead;
  if (doubted || version.incarnation > message.incarnation) {
    reply.members.push_back(known->record);
  }
}

MembershipActions Membership::Impl::OnMessage(const MembershipMessage& message,
                                              Instant now) {
  Begin(now);
  if (message.sender == self_.id) {
    if (message.incarnation > self_.version.incarnation) {
      actions_.emplace_back(Superseded{message.incarnation});
    }
    return End();
  }
  using Handler = void (Impl::*)(const MembershipMessage&, MembershipMessage&);
  static constexpr Handler kHandlers[MembershipMessage::kKindCount] = {
      &Impl::HandleProbe,       &Impl::HandleAck,    &Impl::HandleProbeRequest,
      &Impl::HandleIndirectAck, &Impl::HandleGossip, &Impl::HandleVersions};

  MembershipMessage reply = Make(Kind::kGossip);
  const MemberTable::Member* known = table_.Find(message.sender);
  const bool outdated = known != nullptr &&
                        message.incarnation < known->record.version.incarnation;
  if (!outdated) {
    TakeNews(message);
    prober_.OnEvidence(message.sender, now);
  }
  CheckSender(message, reply);
  if (!outdated) {
    (this->*kHandlers[static_cast<std::size_t>(message.kind)])(message, reply);
  }
  if (!IsEmpty(reply)) {
    Send(message.sender, std::move(reply));
  }
  return End();
}

void Membership::Impl::HandleProbe(const MembershipMessage& message,
                                   MembershipMessage& reply) {
  if (message.neighbor) {
    followers_[message.sender] = now_;
    news_.AddPeer(message.sender);
  }
  reply.kind = Kind::kAck;
  reply.sequence = message.sequence;
  reply.members_digest = table_.digest();
  reply.entries_digest = entries_.digest();
  AddPendingNews(message.sender, reply);
}

void Membership::Impl::HandleAck(const MembershipMessage& message,
                                 MembershipMessage& reply) {
  const auto relay = relays_.find(message.sequence);
  if (relay != relays_.end()) {
    MembershipMessage answer = Make(Kind::kIndirectAck);
    answer.target = message.sender;
    answer.sequence = relay->second.sequence;
    Send(relay->second.requester, std::move(answer));
    relays_.erase(relay);
    return;
  }
  prober_.OnAck(message.sender, message.sequence, now_);
  const bool due = now_ - last_sync_ >= options_.sync_interval;
  reply.lists_members = due && message.members_digest != table_.digest();
  reply.lists_entries = due && message.entries_digest != entries_.digest();
  if (!reply.lists_members && !reply.lists_entries) {
    return;
  }
  last_sync_ = now_;
  reply.kind = Kind::kVersions;
  if (reply.lists_members) {
    for (const auto& [id, member] : table_.members()) {
      if (member.record.version.incarnation != 0) {
        reply.member_versions.push_back({id, member.record.version});
      }
    }
  }
  if (reply.lists_entries) {
    for (const auto& [key, entry] : entries_.entries()) {
      reply.entry_versions.push_back({key, entry.version});
    }
  }
}

void Membership::Impl::HandleProbeRequest(const MembershipMessage& message,
                                          MembershipMessage& /*reply*/) {
  if (table_.Find(message.target) == nullptr || message.target == self_.id) {
    return;
  }
  const std::uint64_t sequence = prober_.NextSequence();
  relays_[sequence] = {message.sender, message.sequence,
                       now_ + options_.suspect_after};
  SendProbe({message.target, sequence, false});
}

void Membership::Impl::HandleIndirectAck(const MembershipMessage& message,
                                         MembershipMessage& /*reply*/) {
  prober_.OnEvidence(message.target, now_);
}

void Membership::Impl::HandleGossip(const MembershipMessage& message,
                                    MembershipMessage& reply) {
  for (const std::string& id : message.wanted_members) {
    const MemberTable::Member* member = table_.Find(id);
    if (member != nullptr && member->record.version.incarnation != 0) {
      reply.members.push_back(member->record);
    }
  }
  for (const std::string& key : message.wanted_entries) {
    if (const GossipEntry* entry = entries_.Find(key)) {
      reply.entries.push_back(*entry);
    }
  }
}

void Membership::Impl::HandleVersions(const MembershipMessage& message,
                                      MembershipMessage& reply) {
  if (message.lists_members) {
    CompareMembers(message, reply);
  }
  if (message.lists_entries) {
    CompareEntries(message, reply);
  }
}

void Membership::Impl::CompareMembers(const MembershipMessage& message,
                                      MembershipMessage& reply) const {
  std::map<std::string, MemberVersion> theirs;
  for (const auto& listed : message.member_versions) {
    theirs[listed.id] = listed.version;
    const MemberTable::Member* member = table_.Find(listed.id);
    const bool lacking = member == nullptr
                             ? listed.version.state == MemberState::kAlive ||
                                   listed.version.state == MemberState::kSuspect
                             : member->record.version < listed.version;
    if (lacking) {
      reply.wanted_members.push_back(listed.id);
    }
  }
  for (const auto& [id, member] : table_.members()) {
    const auto known = theirs.find(id);
    if (member.record.version.incarnation != 0 &&
        (known == theirs.end() || known->second < member.record.version)) {
      reply.members.push_back(member.record);
    }
  }
}

void Membership::Impl::CompareEntries(const MembershipMessage& message,
                                      MembershipMessage& reply) const {
  std::map<std::string, std::uint64_t> theirs;
  for (const auto& listed : message.entry_versions) {
    theirs[listed.key] = listed.version;
    const GossipEntry* entry = entries_.Find(listed.key);
    if (entry == nullptr || entry->version < listed.version) {
      reply.wanted_entries.push_back(listed.key);
    }
  }
  for (const auto& [key, entry] : entries_.entries()) {
    const auto known = theirs.find(key);
    if (known == theirs.end() || known->second < entry.version) {
      reply.entries.push_back(entry);
    }
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

MembershipActions Membership::Impl::OnTick(Instant now) {
  Begin(now);
  ExpirePeers();
  PickAtRandom();
  const Prober::Step step = prober_.Tick(now);
  for (const Prober::Probe& probe : step.unanswered) {
    AskHelpers(probe);
  }
  for (const std::string& id : step.silent) {
    Suspect(id);
  }
  for (const Prober::Reachability& change : step.changes) {
    actions_.emplace_back(ReachabilityChanged{change.id, change.reachable});
  }
  ExpireSuspicions();
  for (const Prober::Probe& probe : step.probes) {
    SendProbe(probe);
  }
  return End();
}

void Membership::Impl::PickAtRandom() {
  const std::size_t count = table_.members().size();
  if (now_ < next_pick_ || count < 2) {
    return;
  }
  next_pick_ = now_ + options_.random_probe_interval;
  // Dead hosts too: this is how two sides of a healed cut find each other.
  const auto index = static_cast<std::ptrdiff_t>(random_() % count);
  const std::string& id = std::next(table_.members().begin(), index)->first;
  if (id != self_.id) {
    prober_.Pick(id, now_);
  }
}

void Membership::Impl::SendProbe(const Prober::Probe& probe) {
  if (table_.Find(probe.id) == nullptr) {
    return;
  }
  MembershipMessage message = Make(Kind::kProbe);
  message.sequence = probe.sequence;
  message.neighbor = probe.neighbor;
  AddPendingNews(probe.id, message);
  Send(probe.id, std::move(message));
}

void Membership::Impl::AskHelpers(const Prober::Probe& probe) {
  const MemberTable::Member* target = table_.Find(probe.id);
  if (target == nullptr || target->state() == MemberState::kDead) {
    return;
  }
  std::vector<std::string> candidates;
  for (const auto& [id, member] : table_.members()) {
    if (id != self_.id && id != probe.id &&
        member.state() == MemberState::kAlive) {
      candidates.push_back(id);
    }
  }
  for (std::size_t i = 0; i < options_.helpers && !candidates.empty(); ++i) {
    std::swap(candidates[random_() % candidates.size()], candidates.back());
    MembershipMessage message = Make(Kind::kProbeRequest);
    message.target = probe.id;
    message.sequence = probe.sequence;
    Send(candidates.back(), std::move(message));
    candidates.pop_back();
  }
}

void Membership::Impl::Suspect(const std::string& id) {
  const MemberTable::Member* member = table_.Find(id);
  if (member == nullptr) {
    return;
  }
  MemberRecord record = member->record;
  if (record.version.incarnation == 0) {
    // Listed, but never heard of by this host: others may know better, so
    // they are not told.
    const MemberTable::Member before = *member;
    record.version.state = MemberState::kDead;
    table_.Merge(record, now_);
    NoteChange(id, before);
    return;
  }
  if (record.version.state == MemberState::kAlive) {
    record.version.state = MemberState::kSuspect;
    TakeRecord(record, "", Spread::kYes);
  }
}

void Membership::Impl::ExpireSuspicions() {
  std::vector<MemberRecord> expired;
  for (const std::string& id : table_.suspects()) {
    const MemberTable::Member& member = *table_.Find(id);
    if (member.record.version.incarnation != 0 &&
        now_ - member.changed > options_.dead_after) {
      expired.push_back(member.record);
    }
  }
  for (MemberRecord& record : expired) {
    record.version.state = MemberState::kDead;
    TakeRecord(record, "", Spread::kYes);
  }
}

void Membership::Impl::ExpirePeers() {
  for (auto it = relays_.begin(); it != relays_.end();) {
    it = now_ > it->second.expires ? relays_.erase(it) : std::next(it);
  }
  const Duration silence = kNeighborSilenceIntervals * options_.probe_interval;
  for (auto it = followers_.begin(); it != followers_.end();) {
    const bool gone = now_ - it->second > silence;
    neighbors_outdated_ = neighbors_outdated_ || gone;
    it = gone ? followers_.erase(it) : std::next(it);
  }
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

Membership::Membership(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Membership::~Membership() = default;

absl::StatusOr<std::unique_ptr<Membership>> Membership::Create(
    const MembershipOptions& options,
    const MemberRecord& self,
    std::uint64_t seed,
    Instant now) {
  if (self.id.empty() || self.version.incarnation == 0) {
    return absl::InvalidArgumentError(
        absl::StrCat("membership: host '", self.id, "' of incarnation ",
                     self.version.incarnation,
                     " needs a name and an incarnation of at least 1"));
  }
  if (!AllPositive(options)) {
    return absl::InvalidArgumentError("membership: a time is not positive");
  }
  MemberRecord record = self;
  record.version = {self.version.incarnation, 0, MemberState::kAlive};
  return std::unique_ptr<Membership>(new Membership(
      std::make_unique<Impl>(options, std::move(record), seed, now)));
}

MembershipActions Membership::OnHostList(const std::vector<ListedHost>& hosts,
                                         Instant now) {
  return impl_->OnHostList(hosts, now);
}

MembershipActions Membership::OnMessage(const MembershipMessage& message,
                                        Instant now) {
  return impl_->OnMessage(message, now);
}

MembershipActions Membership::OnTick(Instant now) {
  return impl_->OnTick(now);
}

void Membership::SetWatched(const std::set<std::string>& ids, Instant now) {
  impl_->SetWatched(ids, now);
}

MembershipActions Membership::Publish(const GossipEntry& entry, Instant now) {
  return impl_->Publish(entry, now);
}

MembershipActions Membership::AnnounceLeaving(Instant now) {
  return impl_->AnnounceLeaving(now);
}

const MemberTable& Membership::table() const {
  return impl_->table();
}

const GossipMap& Membership::entries() const {
  return impl_->entries();
}

const MemberRecord& Membership::self() const {
  return impl_->self();
}

bool Membership::Reachable(const std::string& id) const {
  return impl_->prober().Reachable(id);
}

const std::set<std::string>& Membership::neighbors() const {
  return impl_->neighbors();
}

}  // namespace heatherlever
