#include "heatherlever/poll_interval.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heatherlever {
namespace {

constexpr Duration kBase = std::chrono::seconds(1);
constexpr double kMean = 0.5;

TEST(PollIntervalTest, FewHostsPollAtTheBaseInterval) {
  EXPECT_EQ(PollInterval(kBase, 0, 0), kBase);
  EXPECT_EQ(PollInterval(kBase, kMaxPollersAtBaseInterval, 0.9), kBase);
}

TEST(PollIntervalTest, ManyHostsTogetherPollAtAConstantRate) {
  for (const int hosts : {40, 100, 1000}) {
    const double polls_per_s =
        hosts * 1e6 /
        static_cast<double>(PollInterval(kBase, hosts, kMean).count());
    EXPECT_NEAR(polls_per_s, kMaxPollersAtBaseInterval, 0.01);
  }
}

TEST(PollIntervalTest, RandomSpreadsThePolls) {
  EXPECT_EQ(PollInterval(kBase, 1000, 0), std::chrono::seconds(25));
  EXPECT_LT(PollInterval(kBase, 1000, 0.999), std::chrono::seconds(75));
}

}  // namespace
}  // namespace heatherlever
