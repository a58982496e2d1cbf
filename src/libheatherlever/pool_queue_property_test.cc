// Properties of PoolQueue over random sequences of events.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "heatherlever/pool_queue.h"
#include "pool_test_driver.h"

namespace heatherlever {
namespace {

constexpr int kServers = 4;
constexpr int kSlots = 2;

// One random event, as numbers that Apply turns into a call of the driver.
struct Event {
  int verb = 0;
  int choice = 0;
  int detail = 0;
};

void SubmitRandom(PoolTestDriver& driver, const Event& event) {
  static const std::vector<std::string> kinds = {"first", "second", "third"};
  const int index = event.choice % 3;
  PoolRequest request = driver.Request(kinds[static_cast<std::size_t>(index)],
                                       static_cast<Rank>(index));
  request.idempotent = index != 2;
  request.floor_share = index == 2 ? 0.2 : 0;
  request.ready = request.idempotent || event.detail % 2 == 0;
  request.caller = event.detail % 3 == 0 ? "one" : "two";
  request.coalescing_digest =
      static_cast<std::uint64_t>(event.detail % 4 == 0 ? 9 : 0);
  request.deadline =
      driver.now + std::chrono::milliseconds(50 + event.detail % 500);
  driver.Submit(request);
}

void EndRandom(PoolTestDriver& driver, const Event& event) {
  const std::vector<AttemptId> open = driver.OpenAttempts();
  if (open.empty()) {
    return;
  }
  const auto index = static_cast<std::size_t>(event.choice) % open.size();
  driver.Done(open[index], static_cast<AttemptResult>(event.detail % 7));
}

void Apply(PoolTestDriver& driver, const Event& event) {
  const auto id = static_cast<RequestId>(event.choice % 40 + 1);
  switch (event.verb) {
    case 0:
    case 1:
    case 2:
      SubmitRandom(driver, event);
      return;
    case 3:
    case 4:
      EndRandom(driver, event);
      return;
    case 5:
      driver.Advance(std::chrono::milliseconds(event.detail % 120));
      return;
    case 6:
      driver.Cancel(id);
      return;
    case 7:
      driver.MarkReady(id);
      return;
    default:
      driver.SetBackends(kServers, kSlots,
                         event.detail % 3 == 0 ? std::set<std::string>{"b1"}
                                               : std::set<std::string>{});
  }
}

RC_GTEST_PROP(PoolQueueProperty, InvariantsHoldUnderAnyEvents, ()) {
  PoolOptions options;
  options.max_queue = static_cast<std::size_t>(*rc::gen::inRange(1, 30));
  options.queue_order =
      *rc::gen::element(QueueOrder::kFifo, QueueOrder::kAdaptiveLifo);
  PoolTestDriver driver(options, *rc::gen::arbitrary<std::uint64_t>());
  driver.SetBackends(kServers, kSlots, {});
  const auto numbers = *rc::gen::container<std::vector<std::vector<int>>>(
      rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 10000)));
  for (const std::vector<int>& number : numbers) {
    Apply(driver, {number[0] % 9, number[1], number[2]});
    RC_ASSERT(driver.violations == std::vector<std::string>());
  }
  driver.RunUntilIdle();
  RC_ASSERT(driver.violations == std::vector<std::string>());
  RC_ASSERT(driver.finished.size() == driver.requests.size());
  RC_ASSERT(driver.pool->Summary().in_flight == 0);
}

RC_GTEST_PROP(PoolQueueProperty, SameEventsGiveTheSameActions, ()) {
  const auto numbers = *rc::gen::container<std::vector<std::vector<int>>>(
      rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 10000)));
  PoolTestDriver left;
  PoolTestDriver right;
  for (PoolTestDriver* driver : {&left, &right}) {
    driver->SetBackends(kServers, kSlots, {});
    for (const std::vector<int>& number : numbers) {
      Apply(*driver, {number[0] % 9, number[1], number[2]});
    }
  }
  RC_ASSERT(left.dispatch_order == right.dispatch_order);
  RC_ASSERT(left.finished.size() == right.finished.size());
}

}  // namespace
}  // namespace heatherlever
