#include "token_budget.h"

#include <gtest/gtest.h>

namespace heatherlever {
namespace {

TEST(TokenBudgetTest, AllowsAShareOfTheTraffic) {
  TokenBudget budget(0.25, 2);
  EXPECT_TRUE(budget.Withdraw());
  EXPECT_TRUE(budget.Withdraw());
  EXPECT_FALSE(budget.Withdraw());
  for (int i = 0; i < 4; ++i) {
    budget.Deposit();
  }
  EXPECT_TRUE(budget.Withdraw());
  EXPECT_FALSE(budget.Withdraw());
}

TEST(TokenBudgetTest, SavesNoMoreThanItsBurst) {
  TokenBudget budget(1, 2);
  for (int i = 0; i < 100; ++i) {
    budget.Deposit();
  }
  EXPECT_TRUE(budget.Withdraw());
  EXPECT_TRUE(budget.Withdraw());
  EXPECT_FALSE(budget.Withdraw());
}

}  // namespace
}  // namespace heatherlever
