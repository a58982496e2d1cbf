#include <algorithm>
#include <utility>

#include "membership_impl.h"

namespace heatherlever {

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

}  // namespace heatherlever
