#include "heather-bench-decisions/decision_cost.h"

#include <chrono>
#include <deque>
#include <string>
#include <variant>

#include "heather-bench-decisions/allocation_count.h"
#include "heatherlever/pool_queue.h"

namespace heather_bench_decisions {
namespace {

using heatherlever::AttemptResult;
using heatherlever::DispatchAction;
using heatherlever::Instant;
using heatherlever::PoolQueue;
using heatherlever::PoolRequest;
using heatherlever::Rank;

constexpr int kServers = 12;
constexpr int kSlots = 6;
constexpr int kRequests = 200000;
constexpr int kCallers = 50;

// A pool kept at the same load: each answer makes room for one more request.
class SteadyPool {
 public:
  SteadyPool() : queue_(*PoolQueue::Create({}, 1)) {
    std::vector<heatherlever::BackendSpec> specs(kServers);
    for (std::size_t i = 0; i < specs.size(); ++i) {
      specs[i].name = "server-" + std::to_string(i);
      specs[i].slots = kSlots;
    }
    queue_->SetBackends(specs, {}, now_);
  }

  void Submit() {
    static const std::array<std::string, 3> kinds = {"first", "second",
                                                     "third"};
    PoolRequest request;
    request.id = ++last_id_;
    const std::size_t rank = last_id_ % kinds.size();
    request.kind = kinds.at(rank);
    request.rank = static_cast<Rank>(rank);
    request.caller = "caller-" + std::to_string(last_id_ % kCallers);
    request.idempotent = rank == 1;
    request.service_time = std::chrono::milliseconds(40);
    request.deadline = now_ + std::chrono::seconds(30);
    queue_->Submit(request, now_);
    Collect();
  }

  void AnswerOldest() {
    now_ += std::chrono::microseconds(500);
    const heatherlever::AttemptId attempt = running_.front();
    running_.pop_front();
    queue_->AttemptDone(attempt, AttemptResult::kOk, now_);
    Collect();
  }

 private:
  void Collect() {
    for (const auto& action : queue_->TakeActions()) {
      if (const auto* dispatch = std::get_if<DispatchAction>(&action)) {
        running_.push_back(dispatch->attempt);
      }
    }
  }

  std::unique_ptr<PoolQueue> queue_;
  Instant now_ = std::chrono::seconds(1);
  std::uint64_t last_id_ = 0;
  std::deque<heatherlever::AttemptId> running_;
};

}  // namespace

DecisionCost MeasureDecisionCost(int queued) {
  SteadyPool pool;
  for (int i = 0; i < kServers * kSlots + queued; ++i) {
    pool.Submit();
  }
  const std::uint64_t allocations = AllocationCount();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    pool.AnswerOldest();
    pool.Submit();
  }
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - start;
  return {took.count() / kRequests,
          static_cast<double>(AllocationCount() - allocations) / kRequests};
}

}  // namespace heather_bench_decisions
