#include "heatherlever/membership_fleet.h"

#include <stdexcept>

namespace heatherlever {
namespace {

constexpr Duration kDomainLatency{1'500};
constexpr Duration kRegionLatency{12'000};
constexpr Duration kIdleTimeout{30'000'000};
constexpr std::uint16_t kPort = 7000;

}  // namespace

struct MembershipFleet::Host {
  ListedHost listing;
  bool listed = true;
  bool frozen = false;
  std::uint64_t incarnation = 0;
  std::unique_ptr<Membership> process;
  // Encoded messages that arrived while frozen.
  std::vector<std::string> waiting;
  // When this host last called each other one.
  std::map<std::string, Instant> last_calls;
  Traffic traffic;
};

MembershipFleet::MembershipFleet(const MembershipOptions& options,
                                 std::uint64_t seed)
    : options_(options), random_(seed) {}

MembershipFleet::~MembershipFleet() = default;

MembershipFleet::Host& MembershipFleet::At(const std::string& id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end()) {
    throw std::out_of_range("no host is named '" + id + "'");
  }
  return *found->second;
}

void MembershipFleet::Schedule(Duration delay, std::function<void()> run) {
  events_.push({now_ + delay, next_order_++, std::move(run)});
}

void MembershipFleet::Add(const std::string& id,
                          const std::string& region,
                          const std::string& failure_domain) {
  auto host = std::make_unique<Host>();
  host->listing = {id, region, failure_domain, "127.0.0.1", kPort, false};
  Host& added = *host;
  hosts_[id] = std::move(host);
  StartProcess(added);
}

void MembershipFleet::StartProcess(Host& host) {
  const ListedHost& listing = host.listing;
  MemberRecord self = {
      listing.id, listing.region, listing.failure_domain,
      listing.ip, listing.port,   {++host.incarnation, 0, MemberState::kAlive}};
  auto made = Membership::Create(options_, self, random_(), now_);
  if (!made.ok()) {
    throw std::invalid_argument(made.status().ToString());
  }
  host.process = std::move(*made);
  host.frozen = false;
  host.waiting.clear();
  ScheduleTick(listing.id, host.incarnation);
}

void MembershipFleet::ScheduleTick(const std::string& id,
                                   std::uint64_t incarnation) {
  // Hosts that start together do not tick together.
  const auto range =
      static_cast<std::uint64_t>(Membership::kTickInterval.count() / 10);
  const Duration delay =
      Membership::kTickInterval - Duration(random_() % range);
  Schedule(delay, [this, id, incarnation] {
    Host& host = At(id);
    if (!host.process || host.incarnation != incarnation) {
      return;
    }
    if (!host.frozen) {
      Apply(host, host.process->OnTick(now_), "");
    }
    ScheduleTick(id, incarnation);
  });
}

std::vector<ListedHost> MembershipFleet::List() const {
  std::vector<ListedHost> list;
  for (const auto& [id, host] : hosts_) {
    if (host->listed) {
      list.push_back(host->listing);
    }
  }
  return list;
}

void MembershipFleet::DeliverList() {
  const std::vector<ListedHost> list = List();
  for (const auto& [id, host] : hosts_) {
    if (host->process && !host->frozen) {
      Apply(*host, host->process->OnHostList(list, now_), "");
    }
  }
}

void MembershipFleet::Kill(const std::string& id) {
  Host& host = At(id);
  host.process.reset();
  host.waiting.clear();
}

void MembershipFleet::Restart(const std::string& id) {
  Host& host = At(id);
  StartProcess(host);
  Apply(host, host.process->OnHostList(List(), now_), "");
}

void MembershipFleet::Freeze(const std::string& id) {
  At(id).frozen = true;
}

void MembershipFleet::Thaw(const std::string& id) {
  Host& host = At(id);
  host.frozen = false;
  for (const std::string& bytes : std::exchange(host.waiting, {})) {
    Receive(host, bytes);
  }
}

void MembershipFleet::Leave(const std::string& id) {
  Host& host = At(id);
  if (host.process && !host.frozen) {
    Apply(host, host.process->AnnounceLeaving(now_), "");
  }
}

void MembershipFleet::Unlist(const std::string& id) {
  At(id).listed = false;
}

void MembershipFleet::ListAsLeaving(const std::string& id) {
  At(id).listing.leaving = true;
}

void MembershipFleet::Cut(const std::string& from, const std::string& to) {
  cuts_.emplace(from, to);
}

void MembershipFleet::Heal(const std::string& from, const std::string& to) {
  cuts_.erase({from, to});
}

void MembershipFleet::Watch(const std::string& id,
                            const std::set<std::string>& watched) {
  Host& host = At(id);
  if (host.process) {
    host.process->SetWatched(watched, now_);
  }
}

void MembershipFleet::Publish(const std::string& id, const GossipEntry& entry) {
  Host& host = At(id);
  if (host.process) {
    Apply(host, host.process->Publish(entry, now_), "");
  }
}

Duration MembershipFleet::Latency(const Host& from, const Host& to) const {
  return from.listing.region == to.listing.region ? kDomainLatency
                                                  : kRegionLatency;
}

void MembershipFleet::CountCall(Host& from, Host& to) {
  ++from.traffic.calls_sent;
  ++to.traffic.calls_received;
  const auto [last, first] = from.last_calls.try_emplace(to.listing.id, now_);
  if (first || now_ - last->second > kIdleTimeout) {
    ++from.traffic.connects_sent;
    ++to.traffic.connects_received;
  }
  last->second = now_;
}

void MembershipFleet::Apply(Host& host,
                            const MembershipActions& actions,
                            const std::string& answering) {
  const std::string& id = host.listing.id;
  bool answered = answering.empty();
  for (const MembershipAction& action : actions) {
    const auto* send = std::get_if<SendMembershipMessage>(&action);
    if (send == nullptr) {
      if (sink_) {
        sink_(id, action);
      }
      continue;
    }
    const bool is_answer = !answered && send->to == answering;
    answered = answered || is_answer;
    if (!is_answer) {
      CountCall(host, At(send->to));
    }
    const std::string bytes = EncodeMembershipMessage(send->message);
    host.traffic.bytes_sent += bytes.size();
    if (cuts_.count({id, send->to}) != 0) {
      continue;
    }
    Schedule(Latency(host, At(send->to)),
             [this, id, to = send->to, bytes] { Deliver(id, to, bytes); });
  }
}

void MembershipFleet::Deliver(const std::string& from,
                              const std::string& to,
                              const std::string& bytes) {
  Host& host = At(to);
  if (!host.process || cuts_.count({from, to}) != 0) {
    return;
  }
  if (host.frozen) {
    host.waiting.push_back(bytes);
    return;
  }
  Receive(host, bytes);
}

void MembershipFleet::Receive(Host& host, const std::string& bytes) {
  host.traffic.bytes_received += bytes.size();
  const auto message = DecodeMembershipMessage(bytes);
  if (!message.ok()) {
    throw std::invalid_argument(message.status().ToString());
  }
  Apply(host, host.process->OnMessage(*message, now_), message->sender);
}

void MembershipFleet::RunFor(Duration duration) {
  const Instant end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

const Membership* MembershipFleet::Find(const std::string& id) const {
  const auto found = hosts_.find(id);
  return found == hosts_.end() ? nullptr : found->second->process.get();
}

std::map<std::string, MemberState> MembershipFleet::View(
    const std::string& id) const {
  std::map<std::string, MemberState> view;
  if (const Membership* process = Find(id)) {
    for (const auto& [name, member] : process->table().members()) {
      view[name] = member.state();
    }
  }
  return view;
}

const MembershipFleet::Traffic& MembershipFleet::traffic(
    const std::string& id) const {
  return hosts_.at(id)->traffic;
}

void MembershipFleet::ResetTraffic() {
  for (const auto& [id, host] : hosts_) {
    host->traffic = {};
  }
}

}  // namespace heatherlever
