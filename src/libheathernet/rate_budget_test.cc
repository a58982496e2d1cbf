#include "heathernet/rate_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace heathernet {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Compares against the definition: within any span, no more than
// burst + rate * span tokens become usable.
TEST(RateBudgetTest, NeverExceedsBurstAndRate) {
  EXPECT_TRUE(rc::check([] {
    const int rate = *rc::gen::inRange(1, 500);
    const int burst = *rc::gen::inRange(1, 20);
    RateBudget budget(rate, burst);
    const auto gaps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20'000));
    Instant now{0};
    std::vector<Instant> usable;
    for (const int gap : gaps) {
      now += Duration(gap);
      if (const auto wait = budget.Take(now, std::chrono::seconds(1))) {
        RC_ASSERT(*wait <= std::chrono::seconds(1));
        usable.push_back(now + *wait);
      }
    }
    for (std::size_t first = 0; first < usable.size(); ++first) {
      for (std::size_t last = first; last < usable.size(); ++last) {
        // Instants are whole microseconds, so a span may be one short.
        const double span = std::chrono::duration<double>(
                                usable[last] - usable[first] + Duration(1))
                                .count();
        RC_ASSERT(static_cast<double>(last - first + 1) <=
                  burst + rate * span + 1e-6);
      }
    }
  }));
}

TEST(RateBudgetTest, RefusalTakesNoToken) {
  RateBudget budget(1.0, 1.0);
  EXPECT_EQ(budget.Take(Instant(0), Duration(0)), Duration(0));
  EXPECT_EQ(budget.Take(Instant(0), Duration(0)), std::nullopt);
  EXPECT_EQ(budget.Take(std::chrono::seconds(1), Duration(0)), Duration(0));
}

}  // namespace
}  // namespace heathernet
