#include <algorithm>
#include <utility>

#include "membership_impl.h"

namespace heatherlever {
namespace {

// A peer that has not sent a neighbor's probe for this many intervals no
// longer counts this host as its neighbor.
constexpr int kNeighborSilenceIntervals = 5;

}  // namespace

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

}  // namespace heatherlever
