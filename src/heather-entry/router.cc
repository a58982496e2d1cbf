#include "heather-entry/router.h"

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "heather-entry/active_config.h"
#include "heather-entry/entry_settings.h"
#include "heather-entry/lookup_ttl.h"
#include "heather-entry/work_codec.h"
#include "heatherlever/epoch_record.h"
#include "heathernet/event_loop.h"
#include "heathernet/log.h"
#include "heathernet/peer_transport.h"

#include <spdlog/spdlog.h>

namespace heather_entry {

using heatherlever::Duration;
using heatherlever::HostRecord;
using heatherlever::Instant;
using heatherlever::KindSpec;
using heathernet::EventLoop;
using heathernet::PeerOutcome;
using heathernet::PeerResult;

namespace {

constexpr char kWorkPath[] = "/peer/work";
constexpr char kDispatchPath[] = "/peer/dispatch";
constexpr char kJobPath[] = "/peer/job";
constexpr char kJobMessagePath[] = "/peer/job-message";
constexpr char kCancelPath[] = "/peer/cancel";
constexpr char kPoolRegion[] = "x-pool-region";
constexpr char kDepose[] = "x-depose";

// Owners of a pool that are asked, one after the other.
constexpr std::size_t kMaxOwnersAsked = 3;

constexpr int kStatusBadRequest = 400;
constexpr std::chrono::seconds kLookUpTimeout(1);

}  // namespace

Router::Router(EventLoop& loop,
               heathernet::PeerTransport& peers,
               BackendClient& backends,
               const EntrySettings& settings,
               std::uint64_t incarnation)
    : loop_(loop),
      peers_(peers),
      self_(settings.name),
      region_(settings.region),
      pools_(loop,
             backends,
             settings.name + "." + std::to_string(incarnation),
             incarnation),
      jobs_(loop, peers, directory_, pools_, {settings.name, incarnation}),
      steering_(settings.region, directory_, pools_) {
  jobs_.SetPlacer(
      [this](const WorkRequest& request) { return PlaceJob(request); });
  jobs_.SetRemoteDispatch(
      [this](const WorkRequest& request, const PoolName& pool, Done done) {
        DispatchRemote(request, pool, std::move(done));
      });
  jobs_.SetRedirect(
      [this](const WorkRequest& request, const std::string& host, Done done) {
        SendJob(request, host, std::move(done));
      });
}

Router::~Router() = default;

// Configuration and epoch -----------------------------------------------------

void Router::InstallConfig(std::shared_ptr<const ActiveConfig> config) {
  if (config_ && config->version <= config_->version) {
    return;
  }
  if (!steering_.InstallConfig(config)) {
    return;
  }
  heathernet::PartLogger("config")->info("version {} is in force",
                                         config->version);
  const std::lock_guard<std::mutex> lock(mutex_);
  config_ = std::move(config);
}

void Router::InstallEpoch(const heatherlever::EpochRecord& epoch,
                          std::shared_ptr<const ActiveConfig> config) {
  if (epoch.number <= directory_.epoch().number) {
    return;
  }
  directory_.InstallEpoch(epoch);
  steering_.OnMembers(self_);
  jobs_.InstallEpoch();
  heathernet::PartLogger("epoch")->info("epoch {} is in force, {} members",
                                        epoch.number, epoch.members.size());
  const std::lock_guard<std::mutex> lock(mutex_);
  epoch_config_ = std::move(config);
  epoch_installed_ = true;
}

std::shared_ptr<const ActiveConfig> Router::config() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return config_;
}

std::optional<KindSpec> Router::Kind(const std::string& name) const {
  const auto active = config();
  const auto index = active ? active->KindIndex(name) : std::nullopt;
  if (!index) {
    return std::nullopt;
  }
  return active->spec.kinds[*index];
}

std::vector<std::string> Router::KindNames() const {
  std::vector<std::string> names;
  if (const auto active = config()) {
    for (const KindSpec& kind : active->spec.kinds) {
      names.push_back(kind.name);
    }
  }
  return names;
}

bool Router::Ready() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return config_ && epoch_installed_;
}

// Requests of callers ---------------------------------------------------------

void Router::Submit(const WorkRequest& request, Done done) {
  const Instant deadline = EventLoop::Now() + request.remaining;
  loop_.Post([this, request, deadline, done = std::move(done)] {
    WorkRequest posted = request;
    posted.remaining = deadline - EventLoop::Now();
    ++in_progress_;
    Route(posted, [this, done](const WorkAnswer& answer) {
      --in_progress_;
      done(answer);
    });
  });
}

void Router::Cancel(const std::string& exchange_id) {
  loop_.Post([this, exchange_id] { CancelOnLoop(exchange_id); });
}

// Withdraws what runs here, and asks every host that the exchange was forwarded
// to. The request itself is answered by whoever has it.
void Router::CancelOnLoop(const std::string& exchange_id) {
  for (const auto& [name, pool] : pools_.pools()) {
    pool->CancelExchange(exchange_id);
  }
  const auto range = forwarded_.equal_range(exchange_id);
  for (auto forwarded = range.first; forwarded != range.second; ++forwarded) {
    const auto host = directory_.Find(forwarded->second);
    if (!host) {
      continue;
    }
    heathernet::PeerRequest message;
    message.path = kCancelPath;
    message.body = exchange_id;
    peers_.Call({host->address, host->peer_port}, std::move(message),
                [](const PeerResult&) {});
  }
}

// Calls a peer about a request and remembers which, for its cancellation.
void Router::Forward(const HostRecord& host,
                     heathernet::PeerRequest message,
                     const std::string& exchange_id,
                     heathernet::PeerTransport::Callback callback) {
  const auto entry = forwarded_.emplace(exchange_id, host.name);
  peers_.Call(
      {host.address, host.peer_port}, std::move(message),
      [this, entry, callback = std::move(callback)](const PeerResult& result) {
        forwarded_.erase(entry);
        callback(result);
      });
}

void Router::Route(const WorkRequest& request, Done done) {
  const auto active = config();
  const auto kind = active->KindIndex(request.kind);
  if (!kind) {
    // An earlier attempt with the same key may have been run.
    done(request.key.empty() ? NotRun("kind-removed")
                             : Unknown("kind-removed"));
    return;
  }
  if (active->spec.kinds[*kind].idempotent) {
    RouteIdempotent(request, std::move(done));
  } else {
    RouteJob(request, std::move(done));
  }
}

void Router::RouteIdempotent(const WorkRequest& request, Done done) {
  const PlacedWork placed = steering_.Place(request);
  if (placed.refused) {
    done(placed.refusal);
    return;
  }
  auto trip = std::make_shared<PoolTrip>();
  trip->request = request;
  trip->pool = placed.pool;
  trip->deadline = EventLoop::Now() + request.remaining;
  trip->owners = directory_.Owners(trip->pool, EventLoop::Now());
  trip->done = [on_done = placed.on_done,
                done = std::move(done)](const WorkAnswer& answer) {
    on_done(answer);
    done(answer);
  };
  TryNextOwner(trip);
}

void Router::TryNextOwner(const std::shared_ptr<PoolTrip>& trip) {
  const Duration remaining = trip->deadline - EventLoop::Now();
  const bool exhausted = trip->next >= trip->owners.size() ||
                         trip->next >= kMaxOwnersAsked ||
                         remaining <= Duration(0);
  if (exhausted) {
    trip->done(trip->certainly_not_sent ? NotRun("no-owner")
                                        : Unknown("owner-silent"));
    return;
  }
  const HostRecord owner = trip->owners[trip->next++];
  trip->request.remaining = remaining;
  if (owner.name == self_) {
    RunInPool(trip->request, trip->pool, trip->done);
    return;
  }
  auto message = EncodeWork(trip->request, kWorkPath);
  message.headers[kPoolRegion] = trip->pool.region;
  Forward(owner, std::move(message), trip->request.exchange_id,
          [this, trip, owner](const PeerResult& result) {
            if (const auto answer = DecodeAnswer(result)) {
              directory_.ReportHeard(owner.name);
              trip->done(*answer);
              return;
            }
            directory_.ReportSilent(owner.name, EventLoop::Now());
            trip->certainly_not_sent &= result.outcome == PeerOutcome::kNotSent;
            TryNextOwner(trip);
          });
}

void Router::RunInPool(const WorkRequest& request,
                       const PoolName& pool,
                       Done done) {
  const auto kind = Kind(request.kind);
  if (!kind) {
    done(NotRun("kind-removed"));
    return;
  }
  pools_.At(pool).Submit(request, *kind, true, nullptr, std::move(done));
}

// Jobs ------------------------------------------------------------------------

PoolName Router::JobPool(const WorkRequest& request) const {
  std::shared_ptr<const ActiveConfig> active;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    active = epoch_config_;
  }
  const auto kind = active->KindIndex(request.kind);
  return {kind ? active->spec.kinds[*kind].service : "",
          active->HomeOf(request.client_address,
                         active->spec.regions.front().name)};
}

void Router::RouteJob(const WorkRequest& request, Done done) {
  SendJob(request, jobs_.Home(JobPool(request)), std::move(done));
}

// The host that is believed to be the home first, then the members of the
// pool's term.
std::vector<std::string> Router::JobHosts(const PoolName& pool,
                                          const std::string& home) const {
  std::vector<std::string> hosts;
  if (directory_.Find(home)) {
    hosts.push_back(home);
  }
  for (const heatherlever::PoolAssignment& assignment :
       directory_.epoch().pools) {
    if (assignment.pool != pool.Text()) {
      continue;
    }
    for (const heatherlever::HostId& member : assignment.term.members) {
      if (member.name != home) {
        hosts.push_back(member.name);
      }
    }
  }
  return hosts;
}

void Router::SendJob(const WorkRequest& request,
                     const std::string& home,
                     Done done) {
  auto trip = std::make_shared<JobTrip>();
  trip->request = request;
  trip->deadline = EventLoop::Now() + request.remaining;
  trip->hosts = JobHosts(JobPool(request), home);
  trip->done = std::move(done);
  TryNextJobHost(trip);
}

// A host after the first one is told that those before it could not be reached,
// so that it deposes the home.
void Router::TryNextJobHost(const std::shared_ptr<JobTrip>& trip) {
  trip->request.remaining = trip->deadline - EventLoop::Now();
  if (trip->next >= trip->hosts.size() ||
      trip->request.remaining <= Duration(0)) {
    trip->done(Unknown("home-unreachable"));
    return;
  }
  const bool depose = trip->next > 0;
  const std::string name = trip->hosts[trip->next++];
  if (name == self_) {
    RunJob(trip->request, depose, trip->done);
    return;
  }
  const auto host = directory_.Find(name);
  if (!host) {
    TryNextJobHost(trip);
    return;
  }
  auto message = EncodeWork(trip->request, kJobPath);
  if (depose) {
    message.headers[kDepose] = "1";
  }
  Forward(*host, std::move(message), trip->request.exchange_id,
          [this, trip, name](const PeerResult& result) {
            if (const auto answer = DecodeAnswer(result)) {
              directory_.ReportHeard(name);
              trip->done(*answer);
              return;
            }
            directory_.ReportSilent(name, EventLoop::Now());
            TryNextJobHost(trip);
          });
}

void Router::RunJob(const WorkRequest& request, bool depose, Done done) {
  const auto kind = Kind(request.kind);
  if (!kind || kind->idempotent) {
    done(Unknown("kind-removed"));
    return;
  }
  jobs_.Submit(request, *kind, JobPool(request), depose, std::move(done));
}

JobPlace Router::PlaceJob(const WorkRequest& request) {
  const PlacedWork placed = steering_.Place(request);
  JobPlace place;
  place.admitted = !placed.refused;
  place.refusal = placed.refusal;
  place.pool = placed.pool;
  place.local = placed.pool.region == region_;
  place.on_done = placed.on_done;
  return place;
}

void Router::DispatchRemote(const WorkRequest& request,
                            const PoolName& pool,
                            Done done) {
  const auto owners = directory_.Owners(pool, EventLoop::Now());
  if (owners.empty()) {
    done(NotRun("no-owner"));
    return;
  }
  if (owners.front().name == self_) {
    RunInPool(request, pool, std::move(done));
    return;
  }
  auto message = EncodeWork(request, kDispatchPath);
  message.headers[kPoolRegion] = pool.region;
  const std::string owner = owners.front().name;
  Forward(owners.front(), std::move(message), request.exchange_id,
          [this, owner, done = std::move(done)](const PeerResult& result) {
            if (const auto answer = DecodeAnswer(result)) {
              done(*answer);
              return;
            }
            directory_.ReportSilent(owner, EventLoop::Now());
            done(result.outcome == PeerOutcome::kNotSent
                     ? NotRun("owner-unreachable")
                     : Unknown("owner-silent"));
          });
}

// Requests of peers -----------------------------------------------------------

void Router::OnPeerRequest(const heathernet::PeerRequest& request,
                           const heathernet::PeerResponder& responder) {
  if (request.path == kJobMessagePath) {
    jobs_.OnMessage(request);
    responder.Respond({});
    return;
  }
  if (request.path == kCancelPath) {
    CancelOnLoop(request.body);
    responder.Respond({});
    return;
  }
  const auto work = DecodeWork(request);
  if (!work || !Ready()) {
    responder.Respond({kStatusBadRequest, {}, "not a request for work"});
    return;
  }
  ++in_progress_;
  const Done done = [this, responder](const WorkAnswer& answer) {
    --in_progress_;
    responder.Respond(EncodeAnswer(answer));
  };
  if (request.path == kWorkPath || request.path == kDispatchPath) {
    const auto region = request.headers.find(kPoolRegion);
    RunInPool(*work,
              {Kind(work->kind).value_or(KindSpec()).service,
               region == request.headers.end() ? region_ : region->second},
              done);
  } else if (request.path == kJobPath) {
    RunJob(*work, request.headers.count(kDepose) != 0, done);
  } else {
    done(Unknown("no-such-path"));
  }
}

// News of other hosts ---------------------------------------------------------

void Router::OnMember(const heatherlever::MemberRecord& member,
                      heatherlever::MemberState state) {
  // A host that the platform lists and nobody has heard of yet is suspect from
  // the start: no sign that it is down.
  const bool heard_of = member.version.incarnation != 0;
  const bool down = state == heatherlever::MemberState::kSuspect ||
                    state == heatherlever::MemberState::kDead;
  directory_.SetDown(member.id, heard_of && down);
  if (state == heatherlever::MemberState::kLeaving) {
    directory_.ReportLeaving(member.id);
  }
  steering_.Refresh();
}

void Router::OnHeadroom(const PoolName& pool,
                        const heatherlever::HeadroomReport& report) {
  steering_.OnHeadroom(pool, report);
}

void Router::OnOwnPause() {
  pools_.Readopt();
}

std::map<PoolName, heatherlever::HeadroomReport> Router::OwnHeadroom() const {
  std::map<PoolName, heatherlever::HeadroomReport> reports;
  for (const auto& [name, pool] : pools_.pools()) {
    const auto owners = directory_.Owners(name, EventLoop::Now());
    if (owners.empty() || owners.front().name != self_) {
      continue;
    }
    const heatherlever::PoolSummary summary = pool->Summary();
    heatherlever::HeadroomReport report;
    report.free_slots = summary.free_slots;
    report.usable_slots = summary.usable_slots;
    for (const std::size_t queued : summary.queued) {
      report.queued += static_cast<int>(queued);
    }
    reports[name] = report;
  }
  return reports;
}

void Router::MakeOwnPools() {
  const auto active = config();
  if (!active) {
    return;
  }
  for (const KindSpec& kind : active->spec.kinds) {
    const PoolName pool = {kind.service, region_};
    const auto owners = directory_.Owners(pool, EventLoop::Now());
    if (!owners.empty() && owners.front().name == self_) {
      pools_.At(pool);
    }
  }
}

std::set<std::string> Router::JobPartners() const {
  std::set<std::string> partners;
  for (const heatherlever::PoolAssignment& pool : directory_.epoch().pools) {
    std::set<std::string> members;
    for (const heatherlever::HostId& member : pool.term.members) {
      members.insert(member.name);
    }
    if (members.erase(self_) != 0) {
      partners.merge(members);
    }
  }
  return partners;
}

void Router::Refresh() {
  steering_.Refresh();
  MakeOwnPools();
}

// Look-ups --------------------------------------------------------------------

std::string Router::LookUp(const std::string& kind,
                           std::uint32_t client_address) {
  auto promise = std::make_shared<std::promise<std::string>>();
  auto answer = promise->get_future();
  loop_.Post([this, promise, kind, client_address] {
    promise->set_value(LookUpOnLoop(kind, client_address));
  });
  if (answer.wait_for(kLookUpTimeout) != std::future_status::ready) {
    return "{}";
  }
  return answer.get();
}

std::string Router::LookUpOnLoop(const std::string& kind,
                                 std::uint32_t client_address) const {
  const auto active = config();
  const std::string home = active->HomeOf(client_address, region_);
  const KindSpec spec = active->spec.kinds[*active->KindIndex(kind)];
  const PoolName pool = {spec.service, directory_.ActingRegion(home)};
  std::vector<HostRecord> hosts = directory_.Owners(pool, EventLoop::Now());
  const std::string first =
      spec.idempotent ? "" : jobs_.Home({spec.service, home});
  std::stable_partition(
      hosts.begin(), hosts.end(),
      [&first](const HostRecord& host) { return host.name == first; });
  nlohmann::json list = nlohmann::json::array();
  for (const HostRecord& host : hosts) {
    list.push_back({{"name", host.name},
                    {"url", "http://" + host.address + ":" +
                                std::to_string(host.http_port)}});
  }
  const nlohmann::json answer = {{"kind", kind},
                                 {"region", pool.region},
                                 {"ttl_s", kLookupTtl.count()},
                                 {"entry_hosts", list}};
  return answer.dump();
}

// Shutdown and state ----------------------------------------------------------

void Router::Leave() {
  leaving_ = true;
  directory_.ReportLeaving(self_);
  jobs_.Leave();
}

bool Router::idle() const {
  return in_progress_ == 0 && pools_.pending() == 0 && jobs_.idle();
}

int Router::HeardMembers() const {
  return directory_.HeardCount(EventLoop::Now());
}

nlohmann::json Router::State() const {
  nlohmann::json pools = nlohmann::json::array();
  for (const auto& [name, pool] : pools_.pools()) {
    const auto summary = pool->Summary();
    pools.push_back({{"pool", name.Text()},
                     {"slots", summary.slots},
                     {"usable_slots", summary.usable_slots},
                     {"free_slots", summary.free_slots},
                     {"in_flight", summary.in_flight},
                     {"queued", summary.queued},
                     {"headroom", summary.headroom}});
  }
  const auto active = config();
  return {{"name", self_},
          {"region", region_},
          {"leaving", leaving_},
          {"in_progress", in_progress_},
          {"config_version", active ? active->version : 0},
          {"config_digest", active ? active->digest : ""},
          {"epoch", directory_.epoch().number},
          {"members", directory_.epoch().members.size()},
          {"silent_members", directory_.SilentCount("", EventLoop::Now())},
          {"pools", pools},
          {"jobs", jobs_.Dump()}};
}

std::vector<std::string> Router::Explain(const std::string& kind,
                                         std::uint32_t client_address) const {
  return steering_.Explain(kind, client_address);
}

}  // namespace heather_entry
