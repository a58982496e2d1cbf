#ifndef HEATHERLEVER_POOL_TEST_DRIVER_H_
#define HEATHERLEVER_POOL_TEST_DRIVER_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "heatherlever/pool_queue.h"

namespace heatherlever {

/// Drives a PoolQueue in tests and checks its invariants after every event: no
/// more attempts than slots, one end for each request, at most one run of
/// non-idempotent work, and no new work on draining servers.
class PoolTestDriver {
 public:
  struct Attempt {
    RequestId id = 0;
    std::string backend;
    bool ended = false;
    bool cancel_requested = false;
  };

  explicit PoolTestDriver(const PoolOptions& options = {},
                          std::uint64_t seed = 1)
      : pool(*PoolQueue::Create(options, seed)) {}

  /// Sets `count` servers b0, b1, ... with `slots` slots each.
  void SetBackends(int count, int slots, const std::set<std::string>& drained) {
    std::vector<BackendSpec> specs(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      BackendSpec& spec = specs[static_cast<std::size_t>(i)];
      spec.name = std::string("b").append(std::to_string(i));
      spec.slots = slots;
    }
    slots_ = slots;
    draining_ = drained;
    pool->SetBackends(specs, drained, now);
    Collect();
  }

  PoolRequest Request(const std::string& kind, Rank rank) {
    PoolRequest request;
    request.id = ++last_id_;
    request.kind = kind;
    request.rank = rank;
    request.caller = "caller";
    request.deadline = now + std::chrono::seconds(2);
    request.service_time = std::chrono::milliseconds(40);
    request.idempotent = true;
    return request;
  }

  RequestId Submit(const PoolRequest& request) {
    requests[request.id] = request;
    EXPECT_TRUE(pool->Submit(request, now));
    Collect();
    return request.id;
  }

  void Done(AttemptId attempt, AttemptResult result) {
    pool->AttemptDone(attempt, result, now);
    Attempt& ended = attempts.at(attempt);
    if (!MayStillRun(result) && !ended.ended) {
      ended.ended = true;
      --in_flight[ended.backend];
    }
    results_[attempt] = result;
    Collect();
  }

  void Cancel(RequestId id) {
    pool->Cancel(id, now);
    Collect();
  }

  void MarkReady(RequestId id) {
    ready_.insert(id);
    pool->MarkReady(id, now);
    Collect();
  }

  /// Advances from wake-up to wake-up.
  void Advance(Duration span) {
    const Instant end = now + span;
    for (auto next = pool->NextWakeup(); next && *next < end;
         next = pool->NextWakeup()) {
      Tick(*next);
    }
    Tick(end);
  }

  /// Advances until nothing is pending.
  void RunUntilIdle() {
    while (const std::optional<Instant> next = pool->NextWakeup()) {
      Tick(*next);
    }
  }

  /// Attempts that have not ended, oldest first.
  std::vector<AttemptId> OpenAttempts() const {
    std::vector<AttemptId> open;
    for (const auto& [id, attempt] : attempts) {
      if (!attempt.ended) {
        open.push_back(id);
      }
    }
    return open;
  }

  /// Attempts of one request, oldest first.
  std::vector<AttemptId> AttemptsOf(RequestId id) const {
    std::vector<AttemptId> list;
    for (const auto& [attempt_id, attempt] : attempts) {
      if (attempt.id == id) {
        list.push_back(attempt_id);
      }
    }
    return list;
  }

  std::unique_ptr<PoolQueue> pool;
  Instant now = std::chrono::seconds(1);
  std::map<RequestId, PoolRequest> requests;
  std::map<AttemptId, Attempt> attempts;
  std::map<RequestId, FinishAction> finished;
  /// Requests in the order in which they were dispatched.
  std::vector<RequestId> dispatch_order;
  std::map<std::string, int> in_flight;
  /// Invariants that were violated; empty if none was.
  std::vector<std::string> violations;

 private:
  void Tick(Instant at) {
    now = std::max(now, at);
    pool->Tick(now);
    Collect();
  }

  void Collect() {
    for (const PoolAction& action : pool->TakeActions()) {
      if (const auto* dispatch = std::get_if<DispatchAction>(&action)) {
        OnDispatch(*dispatch);
      } else if (const auto* cancel =
                     std::get_if<CancelAttemptAction>(&action)) {
        attempts.at(cancel->attempt).cancel_requested = true;
      } else {
        OnFinish(std::get<FinishAction>(action));
      }
    }
  }

  void OnDispatch(const DispatchAction& dispatch) {
    const PoolRequest& request = requests.at(dispatch.id);
    Check(draining_.count(dispatch.backend) == 0, "dispatched to a drain");
    Check(finished.count(dispatch.id) == 0, "dispatched after the end");
    Check(request.ready || ready_.count(dispatch.id) != 0, "not ready");
    for (const AttemptId earlier : AttemptsOf(dispatch.id)) {
      Check(attempts.at(earlier).backend != dispatch.backend,
            "same server twice");
      const auto result = results_.find(earlier);
      Check(request.idempotent ||
                (result != results_.end() && CertainlyNotRun(result->second)),
            "non-idempotent work dispatched again");
    }
    dispatch_order.push_back(dispatch.id);
    attempts[dispatch.attempt] = {dispatch.id, dispatch.backend};
    deadlines_[dispatch.attempt] = dispatch.deadline;
    CountSlots(dispatch.backend);
  }

  // A server enforces the deadline of an attempt, so an attempt whose end is
  // not confirmed counts until its deadline.
  void CountSlots(const std::string& backend) {
    ++in_flight[backend];
    int running = 0;
    for (const auto& [id, attempt] : attempts) {
      if (attempt.backend == backend && !attempt.ended &&
          deadlines_.at(id) > now) {
        ++running;
      }
    }
    Check(running <= slots_, "more in flight than slots");
  }

  void OnFinish(const FinishAction& finish) {
    Check(finished.count(finish.id) == 0, "finished twice");
    finished[finish.id] = finish;
    const PoolRequest& request = requests.at(finish.id);
    Check(finish.outcome == RequestOutcome::kNotRun || now <= request.deadline,
          "finished after the deadline");
    if (finish.outcome == RequestOutcome::kNotRun) {
      for (const AttemptId attempt : AttemptsOf(finish.id)) {
        const auto result = results_.find(attempt);
        Check(result != results_.end() && CertainlyNotRun(result->second),
              "said not run of work that may have run");
      }
    }
  }

  void Check(bool holds, const std::string& what) {
    if (!holds) {
      violations.push_back(what);
    }
  }

  int slots_ = 0;
  std::set<std::string> draining_;
  std::set<RequestId> ready_;
  std::map<AttemptId, AttemptResult> results_;
  std::map<AttemptId, Instant> deadlines_;
  RequestId last_id_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_TEST_DRIVER_H_
