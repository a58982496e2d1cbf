#include "heatherlever/member_table.h"

#include <xxhash.h>

#include <array>

namespace heatherlever {
namespace {

// Hosts that are dead or leaving have no part in the digest, because tables
// forget them at different times.
std::uint64_t Digest(const MemberRecord& record) {
  const MemberVersion& version = record.version;
  const bool counts = version.state == MemberState::kAlive ||
                      version.state == MemberState::kSuspect;
  if (!counts || version.incarnation == 0) {
    return 0;
  }
  const std::array<std::uint64_t, 3> fields = {
      version.incarnation, version.refutation,
      static_cast<std::uint64_t>(version.state)};
  const std::uint64_t seed = XXH3_64bits(fields.data(), sizeof(fields));
  return XXH3_64bits_withSeed(record.id.data(), record.id.size(), seed);
}

bool Ended(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeaving;
}

}  // namespace

MemberState MemberTable::Member::state() const {
  const bool listed_as_leaving =
      listed_leaving && record.version.incarnation <= leaving_incarnation;
  return listed_as_leaving ? MemberState::kLeaving : record.version.state;
}

bool MemberTable::Merge(const MemberRecord& record, Instant now) {
  const auto found = members_.find(record.id);
  if (found == members_.end()) {
    if (Ended(record.version.state)) {
      return false;
    }
    SetRecord(members_[record.id], record, now);
    return true;
  }
  Member& member = found->second;
  if (!(member.record.version < record.version)) {
    return false;
  }
  // The first incarnation to be heard of is the one that the list means.
  if (member.record.version.incarnation == 0) {
    member.leaving_incarnation = record.version.incarnation;
  }
  SetRecord(member, record, now);
  return true;
}

void MemberTable::SetRecord(Member& member,
                            const MemberRecord& record,
                            Instant now) {
  digest_ ^= Digest(member.record) ^ Digest(record);
  member.record = record;
  member.changed = now;
  if (record.version.state == MemberState::kSuspect) {
    suspects_.insert(record.id);
  } else {
    suspects_.erase(record.id);
  }
}

void MemberTable::AddListed(const ListedHost& host, Instant now) {
  Member& member = members_[host.id];
  if (member.record.id.empty()) {
    SetRecord(member,
              {host.id, host.region, host.failure_domain, host.ip, host.port,
               MemberVersion{}},
              now);
  }
  member.listed = true;
  if (host.leaving && !member.listed_leaving) {
    member.leaving_incarnation = member.record.version.incarnation;
  }
  member.listed_leaving = host.leaving;
}

void MemberTable::MergeList(const std::vector<ListedHost>& hosts,
                            const std::string& self,
                            Instant now) {
  for (auto& [id, member] : members_) {
    member.listed = false;
  }
  for (const ListedHost& host : hosts) {
    AddListed(host, now);
  }
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const MemberVersion& version = member.record.version;
    const bool forgotten = !member.listed && it->first != self &&
                           (Ended(version.state) || version.incarnation == 0);
    if (!forgotten) {
      ++it;
      continue;
    }
    suspects_.erase(it->first);
    it = members_.erase(it);
  }
}

const MemberTable::Member* MemberTable::Find(const std::string& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

void MemberTable::ResetSuspicions(Instant now) {
  for (const std::string& id : suspects_) {
    members_.at(id).changed = now;
  }
}

}  // namespace heatherlever
