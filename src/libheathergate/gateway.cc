#include "heathergate/gateway.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "heathergate/http_exchange.h"
#include "heathergate/http_status.h"
#include "heathergate/pause_monitor.h"
#include "heathernet/event_loop.h"
#include "heathersteer/host_registration.h"
#include "heathersteer/rejection.h"
#include "heathersteer/server_state.h"
#include "heathersteer/traffic_config.h"
#include "libheathergate/connection_trial.h"
#include "libheathergate/detour_field.h"
#include "libheathergate/forwarded_request.h"
#include "libheathergate/retry_after_field.h"
#include "libheathergate/startup_queue.h"
#include "libheathergate/time_left.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heathernet::EventLoop;

// Limits how many queued requests are tried when a server has a free slot.
constexpr std::size_t kMaxTriedPerFreeSlot = 8;
// Interval between tries to place the queued requests while no response
// arrives.
constexpr Duration kTickInterval = std::chrono::milliseconds(10);

// Time for a round of trial connections.
constexpr Duration kTrialTimeout = std::chrono::milliseconds(300);
constexpr Duration kTrialTick = std::chrono::milliseconds(50);

HttpClientOptions ClientOptions(const GatewayOptions& options) {
  HttpClientOptions client;
  client.echo_header = options.names.request_id;
  client.buffers = options.buffers;
  return client;
}

}  // namespace

Gateway::Gateway(EventLoop& loop, GatewayOptions options)
    : loop_(loop),
      options_(std::move(options)),
      pauses_(options_.pauses != nullptr
                  ? options_.pauses
                  : std::make_shared<PauseMonitor>(loop)),
      client_(loop, ClientOptions(options_)),
      placement_(options_.placement),
      shift_limiter_(options_.max_shift_change),
      trial_(std::make_unique<ConnectionTrial>(loop)),
      trial_timer_(loop),
      random_(options_.seed),
      startup_queue_(std::make_unique<StartupQueue>(
          loop,
          options_.max_startup_wait,
          [this](const std::shared_ptr<HttpExchange>& exchange) {
            OnStartupWaitExpired(exchange);
          })),
      tick_(loop) {
  pauses_->AddListener(
      {.on_pause = [] {}, .on_hold_ended = [this] { PlaceHeld(); }});
}

Gateway::~Gateway() = default;

void Gateway::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  ++counters_.requests;
  const bool detoured = exchange->head().Find(options_.names.detour) != nullptr;
  if (detoured && !MayTakeDetoured(*exchange)) {
    RejectDetoured(exchange);
  } else if (!accepting_) {
    // Other hosts can serve it at once.
    Reject(exchange, RejectionFor(Duration(0)), kStoppingReason);
  } else if (started_) {
    Forward(exchange);
  } else {
    startup_queue_->Add(exchange);
  }
}

// Other hosts can serve at once what waits here, and what begins later may not
// be over when the process has to end.
void Gateway::StopAccepting() {
  if (!std::exchange(accepting_, false)) {
    return;
  }
  for (const auto& exchange : startup_queue_->TakeAll()) {
    if (!exchange->done()) {
      Reject(exchange, RejectionFor(Duration(0)), kStoppingReason);
    }
  }
  for (const auto& request : ActiveRequests()) {
    request->EndIfWaiting();
  }
}

void Gateway::EndRequests() {
  StopAccepting();
  for (const auto& request : ActiveRequests()) {
    request->EndForStop();
  }
}

std::vector<std::shared_ptr<ForwardedRequest>> Gateway::ActiveRequests() const {
  std::vector<std::shared_ptr<ForwardedRequest>> requests;
  requests.reserve(active_.size());
  for (const auto& [key, request] : active_) {
    requests.push_back(request);
  }
  return requests;
}

void Gateway::Forward(const std::shared_ptr<HttpExchange>& exchange) {
  const HttpHead& head = exchange->head();
  const std::string* host = head.Find("Host");
  const heathersteer::Route* route =
      host == nullptr ? nullptr : routes_->Find(*host, head.target);
  if (route == nullptr) {
    ++counters_.unrouted;
    spdlog::info("no route for host '{}', target '{}', configuration {}",
                 host == nullptr ? "" : *host, head.target, config_->version);
    exchange->Respond(HttpResponse::Of(kStatusNotFound));
    return;
  }
  const std::string& service =
      traffic_split_.Choose(*route, head.Value(options_.names.affinity_key));
  const auto request = std::make_shared<ForwardedRequest>(
      *this, loop_, exchange, config_, *route, config_->services.at(service));
  Retain(request);
  request->Start();
}

void Gateway::ApplyConfig(
    std::shared_ptr<const heathersteer::TrafficConfig> config) {
  if (config_ != nullptr && config->version <= config_->version) {
    return;
  }
  spdlog::info("configuration {} in force: {} routes, {} services; before: {}",
               config->version, config->routes.size(), config->services.size(),
               config_ == nullptr ? 0 : config_->version);
  config_ = std::move(config);
  std::set<std::string_view> names;
  for (const heathersteer::Route& route : config_->routes) {
    names.insert(route.name);
  }
  std::erase_if(throttles_, [&](const auto& throttle) {
    return !names.contains(throttle.first);
  });
  routes_ = std::make_shared<heathersteer::RouteTable>(*config_);
  ForwardStartupQueue();
}

void Gateway::ForwardStartupQueue() {
  if (started_ || config_ == nullptr || servers_.size() == 0) {
    return;
  }
  started_ = true;
  const auto exchanges = startup_queue_->TakeAll();
  spdlog::info("{} requests waited for the start", exchanges.size());
  for (const auto& exchange : exchanges) {
    if (!exchange->done()) {
      Forward(exchange);
    }
  }
}

void Gateway::OnStartupWaitExpired(
    const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->done()) {
    return;
  }
  if (config_ != nullptr) {
    // No server is known. The route determines what response the caller gets.
    Forward(exchange);
    return;
  }
  const Duration left =
      ParseTimeLeft(exchange->head().Value(options_.names.time_left))
          .value_or(options_.max_startup_wait);
  Reject(exchange, Rejection(left), "no configuration is known yet");
}

bool Gateway::MayTakeDetoured(const HttpExchange& exchange) const {
  const auto detour =
      DetourField::Parse(exchange.head().Value(options_.names.detour));
  // An older configuration may name other services and homes.
  return accepting_ && started_ && !cut_off() &&
         detoured_active_ < options_.max_detoured && detour &&
         config_->version >= detour->config_version;
}

HttpResponse Gateway::DetourRejection() {
  HttpResponse response = RejectionFor(Duration(0));
  response.fields.push_back({options_.names.detour, "unavailable"});
  return response;
}

void Gateway::RejectDetoured(const std::shared_ptr<HttpExchange>& exchange) {
  spdlog::info("request id={} of another host rejected: cut_off={} active={}",
               exchange->head().Value(options_.names.request_id), cut_off(),
               detoured_active_);
  exchange->Respond(DetourRejection());
}

void Gateway::OnServerUnreachable(const std::string& server_id) {
  reachability_.RecordUnreachable(server_id, EventLoop::Now());
  TryServers();
}

// Servers of several domains are tried first, as a whole domain may have
// failed; those that did not respond lately come last.
void Gateway::TryServers() {
  if (trial_->running() || !reachability_.ShouldTry(EventLoop::Now())) {
    return;
  }
  const std::vector<std::string> failed = reachability_.unreachable();
  struct Candidate {
    double rank = 0;
    const heathersteer::BackendServer* server = nullptr;
  };
  std::vector<Candidate> ranked;
  std::map<std::string, int> tried_in_domain;
  for (const auto& [id, state] : servers_.by_id()) {
    const bool has_failed =
        std::find(failed.begin(), failed.end(), id) != failed.end();
    ranked.push_back({Random() + (has_failed ? 1 : 0), &state->server});
  }
  std::sort(
      ranked.begin(), ranked.end(),
      [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
  const std::size_t count = reachability_.TrialCount();
  std::vector<std::string> ids;
  std::vector<HttpPeer> peers;
  for (int per_domain = 1; peers.size() < std::min(count, ranked.size());
       ++per_domain) {
    for (Candidate& candidate : ranked) {
      if (candidate.server == nullptr || peers.size() == count) {
        continue;
      }
      const heathersteer::BackendServer& server = *candidate.server;
      int& tried = tried_in_domain[server.domain];
      if (tried < per_domain) {
        ++tried;
        ids.push_back(server.id);
        peers.push_back({server.id, server.address, server.port});
        candidate.server = nullptr;
      }
    }
  }
  if (peers.empty()) {
    return;
  }
  trial_->Start(peers, kTrialTimeout, [this, ids](bool any_connected) {
    OnTrialDone(ids, any_connected);
  });
}

void Gateway::OnTrialDone(const std::vector<std::string>& server_ids,
                          bool any_connected) {
  const std::vector<std::string> failed = reachability_.unreachable();
  const bool changed =
      reachability_.RecordTrials(server_ids, any_connected, EventLoop::Now());
  if (cut_off()) {
    ScheduleTrial();
  } else {
    // A second round follows a first one that failed.
    TryServers();
  }
  if (!changed) {
    return;
  }
  if (cut_off()) {
    spdlog::warn("no backend server is reachable; failed: {}",
                 fmt::join(failed, ","));
  } else {
    spdlog::info("backend servers are reachable again");
    // The failures were this host's own.
    for (const std::string& id : failed) {
      if (const auto state = servers_.Find(id)) {
        state->health.Reinstate();
      }
    }
  }
  on_cut_off_changed_();
  RetryQueued();
}

void Gateway::ScheduleTrial() {
  trial_timer_.Start(kTrialTick, [this] {
    TryServers();
    if (cut_off()) {
      ScheduleTrial();
    }
  });
}

void Gateway::Reject(const std::shared_ptr<HttpExchange>& exchange,
                     HttpResponse response,
                     const char* reason) {
  spdlog::info("request id={} status={} reason=\"{}\"",
               exchange->head().Value(options_.names.request_id),
               response.status, reason);
  exchange->Respond(std::move(response));
}

HttpResponse Gateway::Rejection(Duration time_left, Duration available_in) {
  return RejectionFor(
      heathersteer::RetryAfter(time_left, Random(), available_in));
}

HttpResponse Gateway::RejectionFor(Duration retry_after) {
  HttpResponse response = HttpResponse::Of(kStatusUnavailable);
  response.fields.push_back(
      {kRetryAfter,
       fmt::format("{:.3f}",
                   std::chrono::duration<double>(retry_after).count())});
  ++counters_.rejected;
  return response;
}

void Gateway::SetHostCount(int host_count) {
  host_count_ = host_count;
  placement_.set_host_count(host_count);
}

void Gateway::SetColdRateHosts(
    const std::vector<heathersteer::HostRegistration>& hosts) {
  if (hosts.size() != std::exchange(cold_rate_hosts_, hosts.size())) {
    spdlog::info("{} hosts share the rates of cold servers", hosts.size());
  }
  std::vector<heathersteer::HostLocation> locations;
  locations.reserve(hosts.size());
  for (const heathersteer::HostRegistration& host : hosts) {
    locations.push_back({host.name, host.region, host.domain});
  }
  placement_.cold_parts().SetHosts(std::move(locations), EventLoop::Now());
}

void Gateway::SetRetryOptions(const heathersteer::RetryBudgetOptions& retries) {
  options_.retries = retries;
  for (auto& [service, budget] : budgets_) {
    budget.set_options(retries);
  }
}

heathersteer::LimitSummary Gateway::ReportLimits() {
  const heatherlever::Instant now = EventLoop::Now();
  heathersteer::LimitSummary summary{.hosts = 1, .reports = {}};
  for (const auto& [id, state] : servers_.by_id()) {
    if (state->rate_limit.ShouldReport(now)) {
      heathersteer::LimitReport& report = summary.reports.emplace_back();
      report.server_id = id;
      report.started_ms = state->server.started_ms;
      state->rate_limit.Report(report, now);
    }
  }
  return summary;
}

void Gateway::ApplyLimits(const heathersteer::LimitSummary& limits) {
  const heatherlever::Instant now = EventLoop::Now();
  for (const heathersteer::LimitReport& report : limits.reports) {
    const auto state = servers_.Find(report.server_id);
    if (state == nullptr || state->server.started_ms != report.started_ms) {
      continue;
    }
    if (state->rate_limit.Apply(report, limits.hosts, host_count_, now)) {
      spdlog::info("backend server {} limit={} requests/s, reported by a host",
                   report.server_id, report.limit);
    }
  }
}

std::size_t Gateway::quarantined() const {
  return crash_suspects_.QuarantinedCount(EventLoop::Now());
}

std::size_t Gateway::limited_servers() const {
  return static_cast<std::size_t>(std::count_if(
      servers_.by_id().begin(), servers_.by_id().end(),
      [](const auto& entry) { return entry.second->rate_limit.limit() > 0; }));
}

std::size_t Gateway::backed_off_servers() const {
  return servers_.backed_off_count(EventLoop::Now());
}

heathersteer::OverloadThrottle& Gateway::Throttle(const std::string& route) {
  return throttles_[route];
}

heathersteer::RetryBudget& Gateway::Budget(const std::string& service) {
  return budgets_.try_emplace(service, options_.retries).first->second;
}

void Gateway::Retain(const std::shared_ptr<ForwardedRequest>& request) {
  active_[request.get()] = request;
}

void Gateway::Release(ForwardedRequest* request) {
  const auto found = active_.find(request);
  if (found == active_.end()) {
    return;
  }
  // A member function of the request may still be running, so the last
  // reference is released in the next iteration of the event loop.
  const auto last = found->second;
  active_.erase(found);
  loop_.Post([last] {});
}

std::uint64_t Gateway::Enqueue(ForwardedRequest* request,
                               const std::string& service,
                               int rank) {
  const std::uint64_t ticket = queue_.Add(service, rank);
  queued_[ticket] = request;
  StartTick();
  return ticket;
}

void Gateway::Dequeue(std::uint64_t ticket) {
  queue_.Remove(ticket);
  queued_.erase(ticket);
}

void Gateway::PlaceQueued(const std::string& service) {
  for (const std::uint64_t ticket :
       queue_.Next(service, kMaxTriedPerFreeSlot)) {
    const auto found = queued_.find(ticket);
    if (found != queued_.end()) {
      found->second->TryPlaceQueued();
    }
  }
}

void Gateway::PlaceHeld() {
  if (config_ == nullptr) {
    return;
  }
  for (const auto& [name, service] : config_->services) {
    for (const std::uint64_t ticket : queue_.Next(name, queue_.size())) {
      PlaceHeld(ticket);
    }
  }
  // A newer configuration may have dropped the services of the rest.
  std::vector<std::uint64_t> others;
  for (const auto& [ticket, request] : queued_) {
    if (!config_->services.contains(request->service())) {
      others.push_back(ticket);
    }
  }
  for (const std::uint64_t ticket : others) {
    PlaceHeld(ticket);
  }
}

void Gateway::PlaceHeld(std::uint64_t ticket) {
  const auto found = queued_.find(ticket);
  if (found != queued_.end()) {
    found->second->OnHoldEnded();
  }
}

void Gateway::StartTick() {
  if (ticking_) {
    return;
  }
  ticking_ = true;
  tick_.Start(kTickInterval, [this] {
    ticking_ = false;
    RetryQueued();
    if (queue_.size() > 0) {
      StartTick();
    }
  });
}

void Gateway::RetryQueued() {
  if (config_ == nullptr) {
    return;
  }
  ForwardStartupQueue();
  for (const auto& [name, service] : config_->services) {
    PlaceQueued(name);
  }
}

double Gateway::Random() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

}  // namespace heathergate
