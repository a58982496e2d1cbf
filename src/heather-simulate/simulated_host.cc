#include "heather-simulate/simulated_host.h"

#include <set>
#include <utility>

#include "heather-simulate/event_queue.h"
#include "heathersteer/rejection.h"

namespace heather_simulate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathersteer::AttemptOutcome;
using heathersteer::NextStep;

// Waiting requests that are tried when a server has room.
constexpr std::size_t kMaxTriedPerFreeSlot = 8;

heathersteer::Service MakeService(const PatternService& pattern) {
  heathersteer::Service service;
  service.name = pattern.name;
  service.cold_start = pattern.cold_start;
  service.cold_requests_per_s = pattern.cold_rate_per_s;
  return service;
}

heathersteer::Route MakeRoute(const PatternKind& kind) {
  heathersteer::Route route;
  route.name = kind.name;
  route.idempotent = kind.idempotent;
  route.timeout = kind.deadline;
  route.target_latency = kind.target;
  route.rank = kind.rank;
  route.max_attempts = kind.max_attempts;
  return route;
}

heathersteer::PlacementOptions MakeOptions(const HostLocation& place,
                                           int hosts) {
  heathersteer::PlacementOptions options;
  options.host = place.name;
  options.region = place.region;
  options.domain = place.domain;
  options.host_count = hosts;
  return options;
}

}  // namespace

struct SimulatedHost::Request {
  Request(const CallerAttempt& of, const heathersteer::Route& its_route)
      : attempt(of),
        route(its_route),
        policy(its_route.idempotent, its_route.max_attempts) {}

  CallerAttempt attempt;
  const heathersteer::Route& route;
  heathersteer::AttemptPolicy policy;
  std::vector<std::string> tried;
  std::shared_ptr<heathersteer::ServerState> server;
  Instant sent_at{0};
  // The server's number of the job; 0 while the job is on its way.
  std::uint64_t job_id = 0;
  std::uint64_t ticket = 0;
  // Counts the sends, so that ends of earlier ones are told apart.
  int send_count = 0;
  // Whether the pace of shifts has seen what it wants.
  bool shift_observed = false;
  bool ended = false;
};

SimulatedHost::SimulatedHost(EventQueue& events,
                             const LoadPattern& pattern,
                             HostLocation place,
                             int hosts,
                             ChooserKind chooser,
                             std::uint64_t seed,
                             ServerLookup lookup)
    : events_(events),
      pattern_(pattern),
      location_(std::move(place)),
      random_(seed),
      lookup_(std::move(lookup)),
      placement_(MakeOptions(location_, hosts)),
      chooser_(MakeChooser(chooser, placement_, location_.region, random_)),
      host_count_(hosts) {
  for (const PatternService& service : pattern.services) {
    services_[service.name] = MakeService(service);
  }
  for (const PatternKind& kind : pattern.kinds) {
    routes_[kind.name] = MakeRoute(kind);
  }
}

void SimulatedHost::Handle(const CallerAttempt& attempt) {
  const auto request =
      std::make_shared<Request>(attempt, routes_.at(attempt.kind->name));
  active_[request.get()] = request;
  const heathersteer::RetryBudgetOptions options{.ratio = pattern_.retry_ratio,
                                                 .extra = pattern_.retry_extra};
  budgets_.try_emplace(attempt.kind->service, options)
      .first->second.CountRequest(events_.now());
  events_.At(attempt.deadline, [this, request] {
    Finish(request, AttemptEnd::kFailed, Duration(0));
  });
  const double random = std::uniform_real_distribution<double>(0, 1)(random_);
  if (pattern_.throttling &&
      throttles_[request->route.name].ShouldReject(events_.now(), random)) {
    Reject(request);
    return;
  }
  Place(request);
}

void SimulatedHost::Place(const RequestPtr& request) {
  if (TryPlace(request)) {
    return;
  }
  const std::uint64_t ticket =
      queue_.Add(request->attempt.kind->service, request->route.rank);
  request->ticket = ticket;
  waiting_[ticket] = request;
  events_.After(heathersteer::MaxQueueTime(request->route),
                [this, request, ticket] {
                  if (!request->ended && request->ticket == ticket) {
                    Reject(request);
                  }
                });
}

bool SimulatedHost::TryPlace(const RequestPtr& request) {
  heathersteer::PlacementRequest wanted;
  wanted.route = &request->route;
  wanted.service = &services_.at(request->attempt.kind->service);
  wanted.affinity_key = request->attempt.object;
  wanted.tried = &request->tried;
  wanted.shift_limiter = &shift_limiter_;
  const auto choice = chooser_->Choose(servers_, wanted, events_.now());
  if (choice.region_impaired) {
    shift_limiter_.MarkImpaired(events_.now());
  }
  if (!std::exchange(request->shift_observed, true)) {
    shift_limiter_.Observe(choice.would_shift, events_.now());
  }
  const auto& server = choice.server;
  if (server == nullptr) {
    return false;
  }
  shift_limiter_.Sent(server->server.region != location_.region, events_.now());
  if (request->ticket != 0) {
    queue_.Remove(request->ticket);
    waiting_.erase(std::exchange(request->ticket, 0));
  }
  Send(request, server);
  return true;
}

void SimulatedHost::Send(
    const RequestPtr& request,
    const std::shared_ptr<heathersteer::ServerState>& server) {
  const Instant now = events_.now();
  if (!request->tried.empty()) {
    retries_[server->server.service].push_back(now);
  }
  request->server = server;
  request->sent_at = now;
  request->job_id = 0;
  const int send = ++request->send_count;
  placement_.Commit(*server, services_.at(server->server.service), now);
  const Duration delay = DelayTo(server->server);
  events_.After(delay, [this, request, send, delay] {
    if (request->ended || request->send_count != send) {
      return;
    }
    SimulatedServer* target = lookup_(request->server->server.id);
    ServerJob job;
    job.object = request->attempt.object;
    job.work = request->attempt.kind->work;
    job.done = [this, request, send, delay](const ServerResponse& answer) {
      events_.After(delay, [this, request, send, answer] {
        if (!request->ended && request->send_count == send) {
          OnResponse(request, answer);
        }
      });
    };
    request->job_id = target->Submit(std::move(job));
  });
}

void SimulatedHost::OnResponse(const RequestPtr& request,
                               const ServerResponse& answer) {
  UpdateServerHealth(*request, answer);
  request->tried.push_back(request->server->server.id);
  const NextStep step = request->policy.After(answer.outcome);
  if (step == NextStep::kDeliver) {
    Finish(request, AttemptEnd::kServed, Duration(0));
    return;
  }
  request->job_id = 0;
  ReleaseServer(request);
  const bool repeat =
      step == NextStep::kRetry && budgets_.at(request->attempt.kind->service)
                                      .TryRetry(events_.now(), host_count_);
  if (repeat || step == NextStep::kPlaceAgain) {
    Place(request);
    return;
  }
  if (request->policy.may_have_run()) {
    Finish(request, AttemptEnd::kFailed, Duration(0));
  } else {
    Reject(request);
  }
}

void SimulatedHost::UpdateServerHealth(const Request& request,
                                       const ServerResponse& answer) {
  const Instant now = events_.now();
  heathersteer::ServerState& server = *request.server;
  switch (answer.outcome) {
    case AttemptOutcome::kAnswered:
      server.load.Report(answer.running, answer.waiting, now);
      server.health.RecordResponse(now - request.sent_at, now);
      return;
    case AttemptOutcome::kNotExecuted:
      server.load.Report(answer.running, answer.waiting, now);
      return;
    default:
      server.health.RecordFailure(now);
  }
}

void SimulatedHost::CountOutcome(const Request& request, AttemptEnd end) {
  heathersteer::OverloadThrottle& throttle = throttles_[request.route.name];
  if (end == AttemptEnd::kServed) {
    throttle.RecordServed(events_.now());
  } else if (end == AttemptEnd::kFailed) {
    throttle.RecordTimeout(events_.now());
  }
}

void SimulatedHost::Reject(const RequestPtr& request) {
  const double random = std::uniform_real_distribution<double>(0, 1)(random_);
  Finish(request, AttemptEnd::kRejected,
         heathersteer::RetryAfter(request->attempt.deadline - events_.now(),
                                  random));
}

void SimulatedHost::Finish(const RequestPtr& request,
                           AttemptEnd end,
                           Duration pause) {
  if (request->ended) {
    return;
  }
  request->ended = true;
  CountOutcome(*request, end);
  if (request->ticket != 0) {
    queue_.Remove(request->ticket);
    waiting_.erase(std::exchange(request->ticket, 0));
  }
  const std::string region =
      request->server == nullptr ? "" : request->server->server.region;
  if (request->server != nullptr && request->job_id != 0 &&
      end == AttemptEnd::kFailed) {
    lookup_(request->server->server.id)->Cancel(request->job_id);
  }
  ReleaseServer(request);
  active_.erase(request.get());
  request->attempt.done(end, pause, region);
}

void SimulatedHost::ReleaseServer(const RequestPtr& request) {
  if (const auto server = std::exchange(request->server, nullptr)) {
    server->load.Finished();
    PlaceQueued(server->server.service);
  }
}

void SimulatedHost::PlaceQueued(const std::string& service) {
  for (const std::uint64_t ticket :
       queue_.Next(service, kMaxTriedPerFreeSlot)) {
    const auto found = waiting_.find(ticket);
    if (found != waiting_.end()) {
      // A copy: a request that is placed leaves the map.
      const RequestPtr request = found->second;
      TryPlace(request);
    }
  }
}

void SimulatedHost::SetServers(
    const std::vector<heathersteer::BackendServer>& servers) {
  std::set<std::string> ids;
  for (const heathersteer::BackendServer& server : servers) {
    ids.insert(server.id);
    servers_.Put(server);
  }
  servers_.KeepOnly(ids);
}

void SimulatedHost::Restart() {
  const auto lost = active_;
  for (const auto& [key, request] : lost) {
    Finish(request, AttemptEnd::kFailed, Duration(0));
  }
  servers_ = {};
  shift_limiter_ = {};
  budgets_.clear();
  throttles_.clear();
}

Duration SimulatedHost::DelayTo(
    const heathersteer::BackendServer& server) const {
  if (server.region != location_.region) {
    return pattern_.inter_region_delay;
  }
  return server.domain == location_.domain ? pattern_.domain_delay
                                           : pattern_.region_delay;
}

}  // namespace heather_simulate
