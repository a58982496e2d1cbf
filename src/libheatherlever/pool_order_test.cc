// Differential test: compares the order in which a PoolQueue dispatches with a
// naive queue that scans all waiting requests.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "pool_test_driver.h"

namespace heatherlever {
namespace {

// Serves by rank, then round robin by caller (a caller without waiting requests
// joins at the end of the next round), then by arrival. There is one kind for
// each rank.
class NaiveQueue {
 public:
  void Push(RequestId id, Rank rank, const std::string& caller) {
    const bool waits =
        std::any_of(waiting_.begin(), waiting_.end(), [&](const Waiting& each) {
          return each.rank == rank && each.caller == caller;
        });
    if (!waits) {
      positions_[{rank, caller}] = {round_[rank] + 1, ++last_sequence_};
    }
    waiting_.push_back({id, rank, caller});
  }

  RequestId Pop() {
    const auto next =
        std::min_element(waiting_.begin(), waiting_.end(),
                         [this](const Waiting& left, const Waiting& right) {
                           return KeyOf(left) < KeyOf(right);
                         });
    const Waiting popped = *next;
    waiting_.erase(next);
    Position& position = positions_[{popped.rank, popped.caller}];
    round_[popped.rank] = position.first;
    position = {position.first + 1, ++last_sequence_};
    return popped.id;
  }

  bool empty() const { return waiting_.empty(); }

 private:
  using Position = std::pair<int, int>;
  struct Waiting {
    RequestId id = 0;
    Rank rank = Rank::kThird;
    std::string caller;
  };

  std::tuple<Rank, Position, RequestId> KeyOf(const Waiting& waiting) {
    return {waiting.rank, positions_[{waiting.rank, waiting.caller}],
            waiting.id};
  }

  std::vector<Waiting> waiting_;
  std::map<std::pair<Rank, std::string>, Position> positions_;
  std::map<Rank, int> round_;
  int last_sequence_ = 0;
};

PoolRequest RandomRequest(PoolTestDriver& driver, int number) {
  static const std::vector<std::string> kinds = {"first", "second", "third"};
  const int rank = number % 3;
  PoolRequest request = driver.Request(kinds[static_cast<std::size_t>(rank)],
                                       static_cast<Rank>(rank));
  request.caller = std::to_string(number / 3 % 4);
  request.deadline = driver.now + std::chrono::hours(1);
  return request;
}

RC_GTEST_PROP(PoolOrderProperty, DispatchOrderEqualsThatOfANaiveQueue, ()) {
  const auto numbers =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  PoolOptions options;
  options.hedge = false;
  PoolTestDriver driver(options);
  driver.SetBackends(1, 1, {});
  NaiveQueue naive;
  std::vector<RequestId> expected;
  bool busy = false;
  for (const int number : numbers) {
    if (number % 5 < 3) {
      const PoolRequest request = RandomRequest(driver, number);
      naive.Push(request.id, request.rank, request.caller);
      driver.Submit(request);
    } else if (busy) {
      driver.Done(driver.OpenAttempts().front(), AttemptResult::kOk);
      busy = false;
    }
    if (!busy && !naive.empty()) {
      expected.push_back(naive.Pop());
      busy = true;
    }
  }
  RC_ASSERT(driver.dispatch_order == expected);
}

// A pool of one server in which requests of the first and the third rank are
// always waiting. Each request takes its slot for the same time.
class FloodedPool {
 public:
  FloodedPool(int slots, double floor)
      : slots_(slots), floor_(floor), pool_(*PoolQueue::Create({}, 1)) {
    BackendSpec spec;
    spec.name = "b0";
    spec.slots = slots;
    pool_->SetBackends({spec}, {}, now_);
  }

  void Run(int responses) {
    for (int i = 0; i < responses; ++i) {
      Refill();
      now_ += kService / slots_;
      pool_->AttemptDone(running_.front(), AttemptResult::kOk, now_);
      running_.pop_front();
      Collect();
    }
  }

  /// Share of the dispatches that the third rank got.
  double third_share() const { return third_ / (first_ + third_); }

 private:
  static constexpr Duration kService = std::chrono::milliseconds(40);
  static constexpr std::size_t kWaiting = 20;

  void Refill() {
    for (const Rank rank : {Rank::kFirst, Rank::kThird}) {
      const auto index = static_cast<std::size_t>(rank);
      while (pool_->Summary().queued.at(index) < kWaiting) {
        Submit(rank);
      }
    }
  }

  void Submit(Rank rank) {
    PoolRequest request;
    request.id = ++last_id_;
    request.kind = std::string(RankName(rank));
    request.rank = rank;
    request.caller = "caller";
    request.floor_share = rank == Rank::kThird ? floor_ : 0;
    request.deadline = now_ + std::chrono::hours(1);
    request.service_time = kService;
    ranks_[request.id] = rank;
    pool_->Submit(request, now_);
    Collect();
  }

  void Collect() {
    for (const PoolAction& action : pool_->TakeActions()) {
      if (const auto* dispatch = std::get_if<DispatchAction>(&action)) {
        running_.push_back(dispatch->attempt);
        (ranks_.at(dispatch->id) == Rank::kThird ? third_ : first_) += 1;
      }
    }
  }

  int slots_;
  double floor_;
  std::unique_ptr<PoolQueue> pool_;
  Instant now_ = std::chrono::seconds(1);
  RequestId last_id_ = 0;
  std::map<RequestId, Rank> ranks_;
  std::deque<AttemptId> running_;
  double first_ = 0;
  double third_ = 0;
};

RC_GTEST_PROP(PoolOrderProperty, OverloadedPoolGivesAKindItsFloor, ()) {
  const double floor = *rc::gen::inRange(5, 50) / 100.0;
  const int slots = *rc::gen::inRange(1, 12);
  FloodedPool pool(slots, floor);
  pool.Run(2000);
  RC_ASSERT(pool.third_share() > 0.9 * floor);
  RC_ASSERT(pool.third_share() < 1.1 * floor);
}

}  // namespace
}  // namespace heatherlever
