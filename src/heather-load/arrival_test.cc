#include "heather-load/arrival.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "heather-load/load_plan.h"

namespace heather_load {
namespace {

using std::chrono::seconds;

LoadPlan OneStream(std::uint64_t seed) {
  LoadPlan plan;
  plan.seed = seed;
  plan.duration = seconds(100);
  LoadStream stream;
  stream.rate_per_s = 200;
  stream.end = plan.duration;
  stream.callers = 4;
  plan.streams.push_back(stream);
  return plan;
}

std::size_t CountBetween(const std::vector<Arrival>& arrivals,
                         seconds from,
                         seconds to) {
  return static_cast<std::size_t>(std::count_if(
      arrivals.begin(), arrivals.end(), [from, to](const Arrival& arrival) {
        return arrival.at >= from && arrival.at < to;
      }));
}

TEST(ArrivalTest, TheSeedDecides) {
  const LoadPlan plan = OneStream(7);
  const auto first = MakeArrivals(plan);
  const auto again = MakeArrivals(plan);
  ASSERT_EQ(first.size(), again.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    ASSERT_EQ(first[i].at, again[i].at);
    ASSERT_EQ(first[i].caller, again[i].caller);
    ASSERT_EQ(first[i].number, i);
  }
  EXPECT_NE(MakeArrivals(OneStream(8)).front().at, first.front().at);
}

TEST(ArrivalTest, TheRateIsTheMean) {
  const LoadPlan plan = OneStream(1);
  // Five standard deviations of 20,000 arrivals.
  EXPECT_NEAR(static_cast<double>(MakeArrivals(plan).size()), 20000, 710);
}

TEST(ArrivalTest, AWaveMovesTheBusiestTime) {
  LoadPlan plan = OneStream(1);
  plan.streams[0].wave = Wave{seconds(100), 0.1, 1, seconds(75)};
  const auto arrivals = MakeArrivals(plan);
  // The mean factor is 0.55.
  EXPECT_NEAR(static_cast<double>(arrivals.size()), 11000, 530);
  EXPECT_GT(CountBetween(arrivals, seconds(65), seconds(85)),
            4 * CountBetween(arrivals, seconds(15), seconds(35)));
}

TEST(WaveTest, FactorsLieBetweenLowAndHigh) {
  const Wave wave{seconds(40), 0.2, 0.8, seconds(10)};
  EXPECT_DOUBLE_EQ(wave.Factor(seconds(10)), 0.8);
  EXPECT_DOUBLE_EQ(wave.Factor(seconds(50)), 0.8);
  EXPECT_DOUBLE_EQ(wave.Factor(seconds(30)), 0.2);
  EXPECT_NEAR(wave.Factor(seconds(20)), 0.5, 1e-12);
}

}  // namespace
}  // namespace heather_load
