#ifndef HEATHER_BENCH_DECISIONS_POOL_SIMULATION_H_
#define HEATHER_BENCH_DECISIONS_POOL_SIMULATION_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "heather-bench-decisions/deployment.h"
#include "heather-bench-decisions/event_queue.h"
#include "heather-bench-decisions/fake_backend.h"
#include "heather-bench-decisions/policy.h"
#include "heather-bench-decisions/scenario.h"
#include "heatherlever/rank.h"

namespace heather_bench_decisions {

/// What one rank got in a run.
struct RankResult {
  /// Latencies of the requests answered in time, in ms.
  std::vector<double> latencies_ms;
  std::size_t offered = 0;
};

/// What a pool's run gave.
struct PoolResult {
  std::array<RankResult, heatherlever::kRankCount> ranks;
  int peak_over_slots = 0;
  /// Seconds from the drain's announcement to the last request sent to the
  /// server; nothing if none drained.
  std::optional<double> drain_s;
};

/// One pool, its fake servers and its traffic under one policy, in virtual
/// time. The same seed gives the same run.
class PoolSimulation {
 public:
  PoolSimulation(const PoolShape& shape,
                 heatherlever::Duration one_way,
                 const Scenario& scenario,
                 double load,
                 const PolicyFactory& policy,
                 std::uint64_t seed);

  PoolResult Run();

  // For policies.
  EventQueue& events() { return events_; }
  FakeBackend& backend(std::size_t index) { return *backends_[index]; }
  std::size_t backend_count() const { return backends_.size(); }
  /// Whether the server takes part and is not known to drain.
  bool takes_work(std::size_t index) const;
  bool takes_part(std::size_t index) const { return index < taking_part_; }
  bool drains(std::size_t index) const { return draining_ == index; }
  /// In-flight requests that the server's last report gave, up to 200 ms old.
  int reported(std::size_t index) const { return reports_[index]; }
  bool reported_healthy(std::size_t index) const;
  /// The request was answered now.
  void Answered(const SimRequest& request);

  // For scenarios.
  void AnnounceDrain(std::size_t index);
  void AddRemainingServers();
  /// The server's reports claim that it is idle, or that it is unhealthy.
  void SetLie(std::size_t index, bool idle);

 private:
  enum class Lie { kNone, kIdle, kUnhealthy };

  void ScheduleArrival(std::size_t rank);
  void Arrive(std::size_t rank);
  void TakeReports();

  EventQueue events_;
  std::mt19937_64 random_;
  Scenario scenario_;
  std::array<double, heatherlever::kRankCount> rates_{};
  std::vector<std::unique_ptr<FakeBackend>> backends_;
  std::vector<int> reports_;
  std::vector<Lie> lies_;
  std::size_t taking_part_ = 0;
  std::optional<std::size_t> draining_;
  std::optional<std::size_t> announced_;
  std::unique_ptr<Policy> policy_;
  PoolResult result_;
  std::uint64_t last_id_ = 0;
};

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_POOL_SIMULATION_H_
