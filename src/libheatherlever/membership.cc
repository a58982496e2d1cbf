#include "heatherlever/membership.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "membership_impl.h"

namespace heatherlever {
namespace {

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
