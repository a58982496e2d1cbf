#include "heather-bench-decisions/owner_policy.h"

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "heather-bench-decisions/pool_simulation.h"

namespace heather_bench_decisions {
namespace {

using heatherlever::AttemptId;
using heatherlever::AttemptResult;
using heatherlever::Duration;
using heatherlever::Instant;

constexpr Duration kReportInterval = std::chrono::milliseconds(200);

}  // namespace

OwnerPolicy::OwnerPolicy(PoolSimulation& simulation,
                         const heatherlever::PoolOptions& options,
                         std::uint64_t seed)
    : simulation_(simulation),
      queue_(*heatherlever::PoolQueue::Create(options, seed)) {
  ServersChanged();
  TakeReports();
}

void OwnerPolicy::Arrive(const SimRequest& request) {
  const RankTraffic& traffic =
      kTraffic.at(static_cast<std::size_t>(request.rank));
  heatherlever::PoolRequest submitted;
  submitted.id = request.id;
  submitted.kind = traffic.kind;
  submitted.rank = request.rank;
  submitted.caller = std::to_string(request.caller);
  submitted.floor_share = traffic.floor_share;
  submitted.deadline = request.deadline;
  submitted.service_time = kServiceTime;
  submitted.idempotent = traffic.idempotent;
  requests_[request.id] = request;
  queue_->Submit(submitted, simulation_.events().now());
  Perform();
}

void OwnerPolicy::ServersChanged() {
  std::vector<heatherlever::BackendSpec> specs;
  std::set<std::string> draining;
  for (std::size_t i = 0; i < simulation_.backend_count(); ++i) {
    if (!simulation_.takes_part(i)) {
      continue;
    }
    heatherlever::BackendSpec spec;
    spec.name = std::to_string(i);
    spec.slots = simulation_.backend(i).slots();
    specs.push_back(spec);
    if (simulation_.drains(i)) {
      draining.insert(spec.name);
    }
  }
  queue_->SetBackends(specs, draining, simulation_.events().now());
  Perform();
}

void OwnerPolicy::Perform() {
  for (const heatherlever::PoolAction& action : queue_->TakeActions()) {
    if (const auto* dispatch =
            std::get_if<heatherlever::DispatchAction>(&action)) {
      Dispatch(*dispatch);
    } else if (const auto* cancel =
                   std::get_if<heatherlever::CancelAttemptAction>(&action)) {
      simulation_.backend(servers_.at(cancel->attempt)).Cancel(cancel->attempt);
    } else {
      Finish(std::get<heatherlever::FinishAction>(action));
    }
  }
  ScheduleWakeup();
}

void OwnerPolicy::Dispatch(const heatherlever::DispatchAction& action) {
  const std::size_t server = std::stoul(action.backend);
  const AttemptId attempt = action.attempt;
  servers_[attempt] = server;
  simulation_.backend(server).Send(
      attempt, action.deadline,
      [this, attempt](AttemptResult result) { AttemptDone(attempt, result); });
  simulation_.events().At(action.deadline, [this, attempt] {
    if (servers_.count(attempt) != 0) {
      queue_->AttemptDone(attempt, AttemptResult::kTimeout,
                          simulation_.events().now());
      Perform();
    }
  });
}

void OwnerPolicy::Finish(const heatherlever::FinishAction& action) {
  const auto found = requests_.find(action.id);
  if (action.outcome == heatherlever::RequestOutcome::kDone) {
    simulation_.Answered(found->second);
  }
  requests_.erase(found);
}

void OwnerPolicy::AttemptDone(AttemptId attempt, AttemptResult result) {
  servers_.erase(attempt);
  queue_->AttemptDone(attempt, result, simulation_.events().now());
  Perform();
}

void OwnerPolicy::ScheduleWakeup() {
  const std::optional<Instant> next = queue_->NextWakeup();
  if (!next || (wakeup_ && *wakeup_ <= *next)) {
    return;
  }
  wakeup_ = next;
  simulation_.events().At(*next, [this, at = *next] {
    if (wakeup_ == at) {
      wakeup_.reset();
      queue_->Tick(simulation_.events().now());
      Perform();
    }
  });
}

void OwnerPolicy::TakeReports() {
  for (std::size_t i = 0; i < simulation_.backend_count(); ++i) {
    queue_->ReportLoad({std::to_string(i), simulation_.reported(i),
                        simulation_.reported_healthy(i)});
  }
  simulation_.events().After(kReportInterval, [this] { TakeReports(); });
}

}  // namespace heather_bench_decisions
