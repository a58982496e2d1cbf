#include "heathersteer/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using std::chrono::seconds;

constexpr RetryBudgetOptions kOptions{.ratio = 0.2, .extra = 116};

// Servers refuse a burst, so that every request needs a retry, at hosts with
// unequal shares of the traffic.
RC_GTEST_PROP(RetryBudgetTest, HostsTogetherKeepToTheBound, ()) {
  constexpr int kHosts = 7;
  std::vector<RetryBudget> hosts(kHosts, RetryBudget(kOptions));
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  Instant now{0};
  for (int i = 0; i < 600; ++i) {
    now += Duration(*rc::gen::inRange(0, 40000));
    RetryBudget& host = hosts[*rc::gen::inRange<std::size_t>(0, kHosts)];
    host.CountRequest(now);
    requests.push_back(now);
    if (host.TryRetry(now, kHosts)) {
      retries.push_back(now);
    }
  }
  const auto count = [&](const std::vector<Instant>& list, Instant until) {
    return std::count_if(list.begin(), list.end(), [&](Instant at) {
      return at <= until && at + kOptions.window > until;
    });
  };
  for (const Instant until : retries) {
    const double allowed =
        kOptions.ratio * static_cast<double>(count(requests, until)) +
        kOptions.extra;
    RC_ASSERT(static_cast<double>(count(retries, until)) <= allowed);
  }
}

// A host that had just started took the whole of `extra`.
TEST(RetryBudgetTest, UsesNothingOfExtraWhileTheHostsAreNotCounted) {
  RetryBudget budget(kOptions);
  for (int i = 0; i < 3; ++i) {
    budget.CountRequest(seconds(1));
    EXPECT_FALSE(budget.TryRetry(seconds(1), 0));
  }
  for (int i = 0; i < 7; ++i) {
    budget.CountRequest(seconds(1));
  }
  EXPECT_TRUE(budget.TryRetry(seconds(1), 0));
  EXPECT_FALSE(budget.TryRetry(seconds(1), 0));
}

TEST(RetryBudgetTest, AllowsRetriesAgainAfterTheWindow) {
  RetryBudget budget({.ratio = 0, .extra = 10});
  int granted = 0;
  while (budget.TryRetry(seconds(1), 1)) {
    ++granted;
  }
  EXPECT_GT(granted, 0);
  EXPECT_TRUE(budget.TryRetry(seconds(12), 1));
}

}  // namespace
}  // namespace heathersteer
