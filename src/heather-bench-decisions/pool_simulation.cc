#include "heather-bench-decisions/pool_simulation.h"

#include <algorithm>
#include <cmath>

namespace heather_bench_decisions {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heatherlever::Rank;

// Requests that arrive before this are not counted.
constexpr Instant kWarmUp = std::chrono::seconds(2);
constexpr Instant kArrivalsEnd = std::chrono::seconds(10);
constexpr Instant kRunEnd = std::chrono::seconds(13);

constexpr Duration kReportInterval = std::chrono::milliseconds(200);
// Time until a drain's announcement reaches the policy.
constexpr Duration kAnnouncementDelay = std::chrono::milliseconds(500);
constexpr int kCallers = 50;

}  // namespace

PoolSimulation::PoolSimulation(const PoolShape& shape,
                               Duration one_way,
                               const Scenario& scenario,
                               double load,
                               const PolicyFactory& policy,
                               std::uint64_t seed)
    : random_(seed), scenario_(scenario) {
  const double capacity =
      shape.all_slots() / std::chrono::duration<double>(kServiceTime).count();
  rates_ = ArrivalRates(scenario, capacity, load);
  for (int i = 0; i < shape.servers; ++i) {
    backends_.push_back(std::make_unique<FakeBackend>(events_, one_way,
                                                      shape.slots, random_()));
  }
  reports_.assign(backends_.size(), 0);
  lies_.assign(backends_.size(), Lie::kNone);
  taking_part_ = static_cast<std::size_t>(
      std::ceil(scenario.servers_at_start * shape.servers));
  if (scenario_.prepare != nullptr) {
    scenario_.prepare(*this);
  }
  policy_ = policy.make(*this, random_());
}

PoolResult PoolSimulation::Run() {
  for (std::size_t rank = 0; rank < rates_.size(); ++rank) {
    ScheduleArrival(rank);
  }
  TakeReports();
  if (scenario_.event != nullptr) {
    events_.At(kEventTime, [this] { scenario_.event(*this); });
  }
  while (events_.now() < kRunEnd && events_.RunNext()) {
  }
  for (const auto& backend : backends_) {
    result_.peak_over_slots =
        std::max(result_.peak_over_slots, backend->peak_over_slots());
  }
  if (announced_) {
    const Duration last = backends_[*announced_]->last_sent() - kEventTime;
    result_.drain_s = std::chrono::duration<double>(last).count();
  }
  return result_;
}

bool PoolSimulation::takes_work(std::size_t index) const {
  return takes_part(index) && !drains(index);
}

bool PoolSimulation::reported_healthy(std::size_t index) const {
  return lies_[index] != Lie::kUnhealthy;
}

void PoolSimulation::Answered(const SimRequest& request) {
  if (request.arrived < kWarmUp || events_.now() > request.deadline) {
    return;
  }
  const Duration latency = events_.now() - request.arrived;
  RankResult& rank = result_.ranks.at(static_cast<std::size_t>(request.rank));
  rank.latencies_ms.push_back(
      std::chrono::duration<double, std::milli>(latency).count());
}

void PoolSimulation::AnnounceDrain(std::size_t index) {
  announced_ = index;
  events_.After(kAnnouncementDelay, [this, index] {
    draining_ = index;
    policy_->ServersChanged();
  });
}

void PoolSimulation::AddRemainingServers() {
  for (std::size_t i = taking_part_; i < backends_.size(); ++i) {
    backends_[i]->behaviour.cold = true;
    backends_[i]->behaviour.cold_since = events_.now();
  }
  taking_part_ = backends_.size();
  policy_->ServersChanged();
}

void PoolSimulation::SetLie(std::size_t index, bool idle) {
  lies_[index] = idle ? Lie::kIdle : Lie::kUnhealthy;
}

void PoolSimulation::ScheduleArrival(std::size_t rank) {
  if (rates_.at(rank) <= 0) {
    return;
  }
  // Traffic follows the servers that take part.
  const double share =
      static_cast<double>(taking_part_) / static_cast<double>(backends_.size());
  std::exponential_distribution<double> gap_s(rates_.at(rank) * share);
  const Duration gap(static_cast<std::int64_t>(gap_s(random_) * 1e6));
  events_.After(gap, [this, rank] { Arrive(rank); });
}

void PoolSimulation::Arrive(std::size_t rank) {
  if (events_.now() > kArrivalsEnd) {
    return;
  }
  SimRequest request;
  request.id = ++last_id_;
  request.rank = static_cast<Rank>(rank);
  request.caller = static_cast<int>(random_() % kCallers);
  request.arrived = events_.now();
  request.deadline = request.arrived + kTraffic.at(rank).deadline;
  if (request.arrived >= kWarmUp) {
    ++result_.ranks.at(rank).offered;
  }
  policy_->Arrive(request);
  ScheduleArrival(rank);
}

void PoolSimulation::TakeReports() {
  for (std::size_t i = 0; i < backends_.size(); ++i) {
    reports_[i] = lies_[i] == Lie::kIdle ? 0 : backends_[i]->running();
  }
  events_.After(kReportInterval, [this] { TakeReports(); });
}

}  // namespace heather_bench_decisions
