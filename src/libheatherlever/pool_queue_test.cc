#include "heatherlever/pool_queue.h"

#include <gtest/gtest.h>

#include "pool_test_driver.h"

namespace heatherlever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(PoolQueueTest, RefusesOptionsOutOfRange) {
  PoolOptions options;
  options.retry_share = 1.5;
  EXPECT_FALSE(PoolQueue::Create(options, 1).ok());
}

TEST(PoolQueueTest, DispatchesOnlyToFreeSlots) {
  PoolTestDriver driver;
  driver.SetBackends(2, 1, {});
  for (int i = 0; i < 3; ++i) {
    driver.Submit(driver.Request("reading", Rank::kSecond));
  }
  EXPECT_EQ(driver.dispatch_order.size(), 2U);
  driver.Done(1, AttemptResult::kOk);
  EXPECT_EQ(driver.dispatch_order.size(), 3U);
  EXPECT_EQ(driver.finished.at(1).outcome, RequestOutcome::kDone);
  EXPECT_EQ(driver.finished.at(1).attempt, 1U);
}

TEST(PoolQueueTest, ServesTheMostUrgentFirst) {
  PoolTestDriver driver;
  driver.SetBackends(1, 1, {});
  driver.Submit(driver.Request("a", Rank::kThird));
  const RequestId third = driver.Submit(driver.Request("a", Rank::kThird));
  const RequestId first = driver.Submit(driver.Request("b", Rank::kFirst));
  driver.Done(1, AttemptResult::kOk);
  driver.Done(2, AttemptResult::kOk);
  EXPECT_EQ(driver.dispatch_order, (std::vector<RequestId>{1, first, third}));
}

TEST(PoolQueueTest, UnreadyRequestKeepsItsPlaceInTheQueue) {
  PoolTestDriver driver;
  driver.SetBackends(1, 1, {});
  driver.Submit(driver.Request("a", Rank::kFirst));
  PoolRequest unready = driver.Request("a", Rank::kFirst);
  unready.ready = false;
  driver.Submit(unready);
  const RequestId last = driver.Submit(driver.Request("a", Rank::kFirst));
  driver.MarkReady(unready.id);
  driver.Done(1, AttemptResult::kOk);
  driver.Done(2, AttemptResult::kOk);
  EXPECT_EQ(driver.dispatch_order,
            (std::vector<RequestId>{1, unready.id, last}));
}

TEST(PoolQueueTest, RefusesAtOnceRequestsThatCannotEndInTime) {
  PoolOptions options;
  options.admission_wait_share = 1;
  PoolTestDriver driver(options);
  driver.SetBackends(1, 1, {});
  for (int i = 0; i < 100; ++i) {
    driver.Submit(driver.Request("a", Rank::kThird));
  }
  ASSERT_FALSE(driver.finished.empty());
  const FinishAction& refused = driver.finished.begin()->second;
  EXPECT_EQ(refused.outcome, RequestOutcome::kNotRun);
  EXPECT_EQ(refused.reason, FinishReason::kTooLate);
  EXPECT_GT(refused.retry_after, Duration(0));
  // About 47 requests of 40 ms and the margin fit into the deadline of 2 s.
  EXPECT_NEAR(static_cast<double>(driver.finished.size()), 53, 4);
}

TEST(PoolQueueTest, AdmitsWaitsUpToTheirShareOfTheTime) {
  PoolOptions options;
  options.admission_wait_share = 0.3;
  PoolTestDriver driver(options);
  driver.SetBackends(1, 1, {});
  for (int i = 0; i < 100; ++i) {
    driver.Submit(driver.Request("a", Rank::kThird));
  }
  // 14 requests of 40 ms fit into 0.3 of 1.88 s, in addition to the running
  // one.
  EXPECT_EQ(driver.finished.size(), 85U);
  EXPECT_NEAR(
      static_cast<double>(driver.finished.begin()->second.retry_after.count()),
      36000, 1000);
}

TEST(PoolQueueTest, QueuedWorkEndsByItsDeadline) {
  PoolTestDriver driver;
  driver.SetBackends(1, 1, {});
  driver.Submit(driver.Request("a", Rank::kFirst));
  const RequestId waits = driver.Submit(driver.Request("a", Rank::kFirst));
  driver.Advance(seconds(2));
  EXPECT_EQ(driver.finished.at(waits).outcome, RequestOutcome::kNotRun);
  EXPECT_EQ(driver.finished.at(waits).reason, FinishReason::kDeadline);
  EXPECT_EQ(driver.finished.at(1).outcome, RequestOutcome::kUnknown);
}

TEST(PoolQueueTest, CoalescesIdenticalRequestsOfOneCaller) {
  PoolTestDriver driver;
  driver.SetBackends(1, 3, {});
  PoolRequest leader = driver.Request("a", Rank::kSecond);
  leader.coalescing_digest = 7;
  PoolRequest follower = driver.Request("a", Rank::kSecond);
  follower.coalescing_digest = 7;
  PoolRequest other = driver.Request("a", Rank::kSecond);
  other.coalescing_digest = 7;
  other.caller = "another";
  driver.Submit(leader);
  driver.Submit(follower);
  driver.Submit(other);
  EXPECT_EQ(driver.dispatch_order.size(), 2U);
  driver.Done(1, AttemptResult::kOk);
  EXPECT_EQ(driver.finished.at(leader.id).attempt, 1U);
  EXPECT_EQ(driver.finished.at(follower.id).attempt, 1U);
  EXPECT_EQ(driver.finished.count(other.id), 0U);
}

TEST(PoolQueueTest, RetriesShedWorkAtAnotherServer) {
  PoolTestDriver driver;
  driver.SetBackends(2, 1, {});
  PoolRequest booking = driver.Request("booking", Rank::kThird);
  booking.idempotent = false;
  driver.Submit(booking);
  driver.Done(1, AttemptResult::kShed);
  ASSERT_EQ(driver.attempts.size(), 2U);
  EXPECT_NE(driver.attempts.at(1).backend, driver.attempts.at(2).backend);
  driver.Done(2, AttemptResult::kShed);
  EXPECT_EQ(driver.finished.at(booking.id).outcome, RequestOutcome::kNotRun);
  EXPECT_EQ(driver.finished.at(booking.id).reason, FinishReason::kNoServer);
}

// A server that sheds everything uses up any retry budget. Work that it
// certainly did not run put no load on it, so it is retried at another server
// even without a budget.
TEST(PoolQueueTest, RetriesIdempotentWorkThatWasNotRunWithoutABudget) {
  PoolOptions options;
  options.retry_share = 0;
  options.retry_burst = 0;
  PoolTestDriver driver(options);
  driver.SetBackends(2, 1, {});
  const RequestId id = driver.Submit(driver.Request("a", Rank::kSecond));
  driver.Done(1, AttemptResult::kShed);
  ASSERT_EQ(driver.attempts.size(), 2U);
  driver.Done(2, AttemptResult::kOk);
  EXPECT_EQ(driver.finished.at(id).outcome, RequestOutcome::kDone);
}

TEST(PoolQueueTest, DoesNotRetryWorkThatMayHaveRunWithoutABudget) {
  PoolOptions options;
  options.retry_share = 0;
  options.retry_burst = 0;
  PoolTestDriver driver(options);
  driver.SetBackends(2, 1, {});
  const RequestId id = driver.Submit(driver.Request("a", Rank::kSecond));
  driver.Done(1, AttemptResult::kError);
  EXPECT_EQ(driver.attempts.size(), 1U);
  EXPECT_EQ(driver.finished.at(id).outcome, RequestOutcome::kUnknown);
}

TEST(PoolQueueTest, NeverRunsBrokenNonIdempotentWorkAgain) {
  PoolTestDriver driver;
  driver.SetBackends(3, 1, {});
  PoolRequest booking = driver.Request("booking", Rank::kThird);
  booking.idempotent = false;
  driver.Submit(booking);
  driver.Done(1, AttemptResult::kFailed);
  EXPECT_EQ(driver.finished.at(booking.id).outcome, RequestOutcome::kUnknown);
  EXPECT_EQ(driver.attempts.size(), 1U);
}

TEST(PoolQueueTest, HedgesOverdueIdempotentWorkAndCancelsTheLoser) {
  PoolTestDriver driver;
  driver.SetBackends(2, 1, {});
  const RequestId id = driver.Submit(driver.Request("a", Rank::kSecond));
  driver.Advance(milliseconds(160));
  ASSERT_EQ(driver.attempts.size(), 2U);
  driver.Done(2, AttemptResult::kOk);
  EXPECT_EQ(driver.finished.at(id).attempt, 2U);
  EXPECT_TRUE(driver.attempts.at(1).cancel_requested);
}

TEST(PoolQueueTest, OneLongAttemptDoesNotEjectItsServer) {
  PoolTestDriver driver;
  driver.SetBackends(3, 1, {});
  for (int i = 0; i < 3; ++i) {
    driver.Submit(driver.Request("a", Rank::kSecond));
  }
  // Overdue after 160 ms and again every 40 ms, as no slot is free to hedge.
  driver.Advance(milliseconds(155));
  driver.Done(1, AttemptResult::kOk);
  driver.Done(2, AttemptResult::kOk);
  for (int i = 0; i < 2; ++i) {
    PoolRequest busy = driver.Request("b", Rank::kFirst);
    busy.idempotent = false;
    driver.Submit(busy);
  }
  driver.Advance(milliseconds(150));
  EXPECT_EQ(driver.pool->Summary().ejected_servers, 0);
}

TEST(PoolQueueTest, UnconfirmedSlotStaysTakenThroughQuarantine) {
  PoolTestDriver driver;
  driver.SetBackends(1, 1, {});
  driver.Submit(driver.Request("a", Rank::kFirst));
  driver.Done(1, AttemptResult::kFailed);
  PoolRequest patient = driver.Request("a", Rank::kFirst);
  patient.deadline = driver.now + seconds(5);
  driver.Submit(patient);
  driver.Advance(milliseconds(2499));
  EXPECT_EQ(driver.dispatch_order.size(), 1U);
  driver.Advance(milliseconds(1));
  EXPECT_EQ(driver.dispatch_order.size(), 2U);
}

TEST(PoolQueueTest, ConfirmationEndsAQuarantineEarly) {
  PoolTestDriver driver;
  driver.SetBackends(1, 1, {});
  driver.Submit(driver.Request("a", Rank::kFirst));
  driver.Submit(driver.Request("a", Rank::kFirst));
  driver.Done(1, AttemptResult::kTimeout);
  EXPECT_EQ(driver.dispatch_order.size(), 1U);
  driver.Done(1, AttemptResult::kOk);
  EXPECT_EQ(driver.dispatch_order.size(), 2U);
}

TEST(PoolQueueTest, CancelledAttemptFinishesAsNotRunOnlyOnceConfirmed) {
  PoolTestDriver driver;
  driver.SetBackends(1, 1, {});
  const RequestId runs = driver.Submit(driver.Request("a", Rank::kFirst));
  const RequestId waits = driver.Submit(driver.Request("a", Rank::kFirst));
  driver.Cancel(waits);
  EXPECT_EQ(driver.finished.at(waits).outcome, RequestOutcome::kNotRun);
  driver.Cancel(runs);
  EXPECT_EQ(driver.finished.count(runs), 0U);
  EXPECT_TRUE(driver.attempts.at(1).cancel_requested);
  driver.Done(1, AttemptResult::kCancelled);
  EXPECT_EQ(driver.finished.at(runs).outcome, RequestOutcome::kNotRun);
}

TEST(PoolQueueTest, FullQueueDisplacesTheLeastUrgent) {
  PoolOptions options;
  options.max_queue = 2;
  PoolTestDriver driver(options);
  driver.SetBackends(1, 1, {});
  driver.Submit(driver.Request("a", Rank::kThird));
  driver.Submit(driver.Request("a", Rank::kThird));
  const RequestId newest = driver.Submit(driver.Request("a", Rank::kThird));
  const RequestId urgent = driver.Submit(driver.Request("b", Rank::kFirst));
  EXPECT_EQ(driver.finished.at(newest).reason, FinishReason::kQueueFull);
  EXPECT_EQ(driver.finished.count(urgent), 0U);
}

TEST(PoolQueueTest, DrainingServerGetsNoNewWork) {
  PoolTestDriver driver;
  driver.SetBackends(2, 1, {});
  driver.SetBackends(2, 1, {"b0"});
  driver.Submit(driver.Request("a", Rank::kFirst));
  driver.Submit(driver.Request("a", Rank::kFirst));
  EXPECT_EQ(driver.dispatch_order.size(), 1U);
  EXPECT_EQ(driver.in_flight["b0"], 0);
}

TEST(PoolQueueTest, RefusesRequestsWithoutAUsableServer) {
  PoolTestDriver driver;
  driver.SetBackends(1, 1, {"b0"});
  const RequestId id = driver.Submit(driver.Request("a", Rank::kFirst));
  EXPECT_EQ(driver.finished.at(id).reason, FinishReason::kNoServer);
}

TEST(PoolQueueTest, NewOwnerStartsWithAReducedLimitLessTheReportedLoad) {
  PoolTestDriver driver;
  driver.SetBackends(1, 6, {});
  driver.pool->AdoptPool({{"b0", 2, true}}, seconds(2), driver.now);
  for (int i = 0; i < 6; ++i) {
    driver.Submit(driver.Request("a", Rank::kFirst));
  }
  // Half of six slots, less the two that the previous owner's work holds.
  EXPECT_EQ(driver.dispatch_order.size(), 1U);
  for (const AttemptId attempt : {1, 2}) {
    driver.Advance(milliseconds(500));
    driver.Done(attempt, AttemptResult::kOk);
  }
  // Four slots after two successful responses, still less two.
  EXPECT_EQ(driver.in_flight["b0"], 2);
  driver.Advance(seconds(1));
  EXPECT_EQ(
      driver.pool->Summary().free_slots + driver.pool->Summary().in_flight, 4);
}

// A previous owner that was killed reports nothing, and its requests continue
// to run.
TEST(PoolQueueTest, NewOwnerCountsServersWithoutReportAsFull) {
  PoolTestDriver driver;
  driver.SetBackends(2, 4, {});
  driver.pool->AdoptPool({{"b0", 0, true}}, seconds(1), driver.now);
  for (int i = 0; i < 6; ++i) {
    driver.Submit(driver.Request("a", Rank::kFirst));
  }
  EXPECT_EQ(driver.in_flight["b0"], 2);
  EXPECT_EQ(driver.in_flight["b1"], 0);
  driver.Advance(seconds(1));
  EXPECT_EQ(driver.in_flight["b1"], 2);
}

}  // namespace
}  // namespace heatherlever
