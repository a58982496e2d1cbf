#include "heatherlever/rate_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>

namespace heatherlever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 1000;
constexpr int kHosts = 5;
constexpr double kDepthS = 0.1;

RC_GTEST_PROP(RateBudgetTest, HostsTogetherKeepTheRateOverEveryInterval, ()) {
  std::vector<RateBudget> budgets(kHosts,
                                  RateBudget(kRate, kHosts, milliseconds(100)));
  std::vector<std::pair<Instant, double>> spent;
  Instant now{0};
  for (int i = 0; i < 150; ++i) {
    now += Duration(*rc::gen::inRange(0, 5000));
    const double amount = *rc::gen::inRange(1, 15);
    if (budgets[*rc::gen::inRange<std::size_t>(0, kHosts)].TrySpend(amount,
                                                                    now)) {
      spent.emplace_back(now, amount);
    }
  }
  for (std::size_t first = 0; first < spent.size(); ++first) {
    double sum = 0;
    for (std::size_t last = first; last < spent.size(); ++last) {
      sum += spent[last].second;
      const double elapsed_s =
          std::chrono::duration<double>(spent[last].first - spent[first].first)
              .count();
      RC_ASSERT(sum <= kRate * (elapsed_s + kDepthS) + 1e-6);
    }
  }
}

TEST(RateBudgetTest, LargeAmountsWaitForAFullBucketAndOverdrawIt) {
  RateBudget budget(100, 1, seconds(1));
  EXPECT_TRUE(budget.TrySpend(300, Instant(0)));
  EXPECT_FALSE(budget.CanSpend(1, seconds(2)));
  EXPECT_EQ(budget.TimeUntil(300, Instant(0)), seconds(3));
  EXPECT_FALSE(budget.TrySpend(300, milliseconds(2999)));
  EXPECT_TRUE(budget.TrySpend(300, seconds(3)));
}

TEST(RateBudgetTest, OverdraftByChargeIsRefilledFirst) {
  RateBudget budget(100, 2, seconds(1));
  EXPECT_EQ(budget.rate(), 50);
  budget.Charge(75, Instant(0));
  EXPECT_FALSE(budget.CanSpend(1, milliseconds(500)));
  EXPECT_TRUE(budget.CanSpend(1, milliseconds(520)));
}

TEST(RateBudgetTest, ZeroRateNeverSpends) {
  RateBudget budget(0, 1, seconds(1));
  EXPECT_FALSE(budget.TrySpend(0, seconds(9)));
  EXPECT_EQ(budget.TimeUntil(1, Instant(0)), Duration::max());
}

}  // namespace
}  // namespace heatherlever
