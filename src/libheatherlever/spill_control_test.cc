#include "libheatherlever/spill_control.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>

namespace heatherlever {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);

HeadroomReport Summary(int free_slots, int queued) {
  return {free_slots, queued, 100, {}, {}};
}

TEST(SpillControlTest, RisesUnderPressureAndIsConstantBetweenThresholds) {
  SpillControl control;
  Instant now{0};
  const auto run = [&](int steps, const HeadroomReport& summary) {
    for (int i = 0; i < steps; ++i) {
      now += kStep;
      control.OnSummary(summary, now);
    }
    return control.share();
  };
  EXPECT_EQ(run(100, Summary(20, 0)), 0);
  const double raised = run(30, Summary(0, 100));
  EXPECT_GT(raised, 0.5);
  run(40, Summary(0, 5));
  const double rested = control.share();
  EXPECT_EQ(run(100, Summary(0, 5)), rested);
  const double falling = run(20, Summary(50, 0));
  EXPECT_LT(falling, rested);
  EXPECT_GT(falling, rested - 0.2);
  EXPECT_EQ(run(400, Summary(50, 0)), 0);
}

TEST(SpillControlTest, APoolWithoutSlotsIsFull) {
  SpillControl control;
  for (int i = 0; i < 50; ++i) {
    control.OnSummary({0, 0, 0, {}, {}}, kStep * i);
  }
  EXPECT_EQ(control.share(), 1);
}

// With a constant load above the pool's slots and delayed summaries, the share
// that spills settles and does not oscillate between all and nothing.
RC_GTEST_PROP(SpillControlTest, ShareSettlesWithDelayedSummaries, ()) {
  const double load = *rc::gen::inRange(110, 200);
  const int lag_steps = *rc::gen::inRange(1, 6);
  SpillControl control;
  std::vector<double> shares;
  for (int step = 0; step < 600; ++step) {
    const int seen = std::max(0, step - lag_steps);
    const double share =
        shares.empty() ? 0 : shares[static_cast<std::size_t>(seen)];
    const int arriving = static_cast<int>(load * (1 - share));
    control.OnSummary(
        Summary(std::max(0, 100 - arriving), std::max(0, arriving - 100)),
        kStep * (step + 1));
    shares.push_back(control.share());
  }
  const auto settled = shares.end() - 200;
  const auto [low, high] = std::minmax_element(settled, shares.end());
  RC_ASSERT(*high - *low <= 0.05);
}

}  // namespace
}  // namespace heatherlever
