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

// Load pattern: a burst that servers refuse, so that every request asks for a
// repeat, at hosts with unequal shares of the traffic.
RC_GTEST_PROP(RetryBudgetTest, HostsTogetherKeepTheBound, ()) {
  constexpr int kHosts = 7;
  std::vector<RetryBudget> hosts(kHosts, RetryBudget(kOptions));
  std::vector<Instant> requests;
  std::vector<Instant> repeats;
  Instant now{0};
  for (int i = 0; i < 600; ++i) {
    now += Duration(*rc::gen::inRange(0, 40000));
    RetryBudget& host = hosts[*rc::gen::inRange<std::size_t>(0, kHosts)];
    host.CountRequest(now);
    requests.push_back(now);
    if (host.TryRetry(now, kHosts)) {
      repeats.push_back(now);
    }
  }
  const auto count = [&](const std::vector<Instant>& list, Instant until) {
    return std::count_if(list.begin(), list.end(), [&](Instant at) {
      return at <= until && at + kOptions.window > until;
    });
  };
  for (const Instant until : repeats) {
    const double allowed =
        kOptions.ratio * static_cast<double>(count(requests, until)) +
        kOptions.extra;
    RC_ASSERT(static_cast<double>(count(repeats, until)) <= allowed);
  }
}

TEST(RetryBudgetTest, IsFreeAgainAfterTheWindow) {
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
