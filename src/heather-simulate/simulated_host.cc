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
using heathersteer::HostLocation;
using heathersteer::NextStep;

// Maximum number of queued requests that are tried when a slot becomes free.
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

heathersteer::PlacementOptions MakeOptions(const HostLocation& location,
                                           int host_count) {
  heathersteer::PlacementOptions options;
  options.host = location.name;
  options.region = location.region;
  options.domain = location.domain;
  options.host_count = host_count;
  return options;
}

}  // namespace

struct SimulatedHost::Request {
  Request(const CallerAttempt& caller_attempt,
          const heathersteer::Route& request_route)
      : attempt(caller_attempt),
        route(request_route),
        policy(request_route.idempotent, request_route.max_attempts) {}

  CallerAttempt attempt;
  const heathersteer::Route& route;
  heathersteer::AttemptPolicy policy;
  std::vector<std::string> tried;
  std::shared_ptr<heathersteer::ServerState> server;
  Instant sent_at{0};
  // The server's id of the job; 0 until the job has arrived there.
  std::uint64_t job_id = 0;
  std::uint64_t ticket = 0;
  // Number of sends; responses to earlier sends are ignored.
  int send_count = 0;
  // Time for which all usable servers were limited at the last try.
  Duration limited_for{0};
  // Whether the shift limiter has observed the request's preferred placement.
  bool shift_observed = false;
  bool ended = false;
};

SimulatedHost::SimulatedHost(EventQueue& events,
                             const LoadPattern& pattern,
                             HostLocation location,
                             int host_count,
                             ChooserKind chooser,
                             std::uint64_t seed,
                             ServerLookup lookup)
    : events_(events),
      pattern_(pattern),
      location_(std::move(location)),
      random_(seed),
      lookup_(std::move(lookup)),
      placement_(MakeOptions(location_, host_count)),
      chooser_(MakeChooser(chooser, placement_, location_.region, random_)),
      host_count_(host_count) {
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
    Finish(request, CallerAttemptOutcome::kFailed, Duration(0));
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
  if (request->limited_for > heathersteer::MaxQueueTime(request->route)) {
    Reject(request);
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
  heathersteer::PlacementRequest placement_request;
  placement_request.route = &request->route;
  placement_request.service = &services_.at(request->attempt.kind->service);
  placement_request.affinity_key = request->attempt.object;
  placement_request.tried = &request->tried;
  placement_request.shift_limiter = &shift_limiter_;
  const auto choice =
      chooser_->Choose(servers_, placement_request, events_.now());
  if (choice.region_impaired) {
    shift_limiter_.MarkImpaired(events_.now());
  }
  if (!std::exchange(request->shift_observed, true)) {
    shift_limiter_.Observe(choice.would_shift, events_.now());
  }
  const auto& server = choice.server;
  if (server == nullptr) {
    request->limited_for = choice.limited_for;
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
  const int send_number = ++request->send_count;
  placement_.Commit(*server, now);
  const Duration delay = DelayTo(server->server);
  events_.After(delay, [this, request, send_number, delay] {
    if (request->ended || request->send_count != send_number) {
      return;
    }
    SimulatedServer* target = lookup_(request->server->server.id);
    ServerJob job;
    job.object = request->attempt.object;
    job.work = request->attempt.kind->work;
    job.done = [this, request, send_number,
                delay](const ServerResponse& response) {
      events_.After(delay, [this, request, send_number, response] {
        if (!request->ended && request->send_count == send_number) {
          OnResponse(request, response);
        }
      });
    };
    request->job_id = target->Submit(std::move(job));
  });
}

void SimulatedHost::OnResponse(const RequestPtr& request,
                               const ServerResponse& response) {
  UpdateServerHealth(*request, response);
  request->tried.push_back(request->server->server.id);
  const NextStep next_step = request->policy.After(response.outcome);
  if (next_step == NextStep::kDeliver) {
    Finish(request, CallerAttemptOutcome::kServed, Duration(0));
    return;
  }
  request->job_id = 0;
  ReleaseServer(request);
  const bool retry = next_step == NextStep::kRetry &&
                     budgets_.at(request->attempt.kind->service)
                         .TryRetry(events_.now(), host_count_);
  if (retry || next_step == NextStep::kPlaceAgain) {
    Place(request);
    return;
  }
  if (request->policy.may_have_run()) {
    Finish(request, CallerAttemptOutcome::kFailed, Duration(0));
  } else {
    Reject(request);
  }
}

void SimulatedHost::UpdateServerHealth(const Request& request,
                                       const ServerResponse& response) {
  const Instant now = events_.now();
  heathersteer::ServerState& server = *request.server;
  switch (response.outcome) {
    case AttemptOutcome::kAnswered:
      server.load.Report(response.running, response.waiting, now);
      server.health.RecordResponse(now - request.sent_at, now);
      return;
    case AttemptOutcome::kNotExecuted:
      server.load.Report(response.running, response.waiting, now);
      return;
    default:
      server.health.RecordFailure(now);
  }
}

void SimulatedHost::CountOutcome(const Request& request,
                                 CallerAttemptOutcome outcome) {
  heathersteer::OverloadThrottle& throttle = throttles_[request.route.name];
  if (outcome == CallerAttemptOutcome::kServed) {
    throttle.RecordServed(events_.now());
  } else if (outcome == CallerAttemptOutcome::kFailed) {
    throttle.RecordTimeout(events_.now());
  }
}

void SimulatedHost::Reject(const RequestPtr& request) {
  const double random = std::uniform_real_distribution<double>(0, 1)(random_);
  Finish(request, CallerAttemptOutcome::kRejected,
         heathersteer::RetryAfter(request->attempt.deadline - events_.now(),
                                  random));
}

void SimulatedHost::Finish(const RequestPtr& request,
                           CallerAttemptOutcome outcome,
                           Duration retry_delay) {
  if (request->ended) {
    return;
  }
  request->ended = true;
  CountOutcome(*request, outcome);
  if (request->ticket != 0) {
    queue_.Remove(request->ticket);
    waiting_.erase(std::exchange(request->ticket, 0));
  }
  const std::string region =
      request->server == nullptr ? "" : request->server->server.region;
  if (request->server != nullptr && request->job_id != 0 &&
      outcome == CallerAttemptOutcome::kFailed) {
    lookup_(request->server->server.id)->Cancel(request->job_id);
  }
  ReleaseServer(request);
  active_.erase(request.get());
  request->attempt.done(outcome, retry_delay, region);
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
      // A copy, because a placed request is erased from the map.
      const RequestPtr request = found->second;
      TryPlace(request);
    }
  }
}

void SimulatedHost::SetHosts(std::vector<HostLocation> hosts) {
  placement_.cold_parts().SetHosts(std::move(hosts), events_.now());
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
  const auto active_requests = active_;
  for (const auto& [key, request] : active_requests) {
    Finish(request, CallerAttemptOutcome::kFailed, Duration(0));
  }
  servers_ = {};
  placement_.cold_parts().SetHosts({}, events_.now());
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
