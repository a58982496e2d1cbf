#include "heather-bench-placement/traffic_case.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>

#include "heather-bench-placement/deployment.h"

namespace heather_bench_placement {
namespace {

using heatherlever::Instant;

// Region of the failure and of the drain, and their times.
constexpr std::size_t kHitRegion = 0;
constexpr double kHitStartS = 20;
constexpr double kHitEndS = 60;
constexpr double kDrainRampS = 10;

// A day of the wave, and its load at the lowest and the highest hour.
constexpr double kDayS = 120;
constexpr double kLowLoad = 0.3;
constexpr double kHighLoad = 1.15;

constexpr double kSteadyLoad = 0.7;
// Room for the moved share in the regions that remain.
constexpr double kFailureLoad = 0.55;

double Seconds(Instant now) {
  return std::chrono::duration<double>(now).count();
}

}  // namespace

std::vector<TrafficCase> AllCases() {
  return {TrafficCase::kSteady, TrafficCase::kDeadRegion,
          TrafficCase::kRegionDrain, TrafficCase::kWave};
}

std::string CaseName(TrafficCase traffic_case) {
  switch (traffic_case) {
    case TrafficCase::kSteady:
      return "steady";
    case TrafficCase::kDeadRegion:
      return "dead region";
    case TrafficCase::kRegionDrain:
      return "region drain";
    case TrafficCase::kWave:
      return "daily wave";
  }
  return "";
}

double LoadAt(TrafficCase traffic_case, std::size_t region, Instant now) {
  if (traffic_case == TrafficCase::kSteady) {
    return kSteadyLoad;
  }
  if (traffic_case != TrafficCase::kWave) {
    return kFailureLoad;
  }
  // Each region has its evening a third of a day after the one to its east.
  const double day = Seconds(now) / kDayS - static_cast<double>(region) /
                                                static_cast<double>(kRegions);
  const double wave = (1 - std::cos(2 * std::numbers::pi * day)) / 2;
  return kLowLoad + (kHighLoad - kLowLoad) * wave;
}

bool IsDead(TrafficCase traffic_case, std::size_t region, Instant now) {
  const double time = Seconds(now);
  return traffic_case == TrafficCase::kDeadRegion && region == kHitRegion &&
         time >= kHitStartS && time < kHitEndS;
}

double DrainShareAt(TrafficCase traffic_case, std::size_t region, Instant now) {
  const double time = Seconds(now);
  if (traffic_case != TrafficCase::kRegionDrain || region != kHitRegion ||
      time >= kHitEndS) {
    return 0;
  }
  return std::clamp((time - kHitStartS) / kDrainRampS, 0.0, 1.0);
}

}  // namespace heather_bench_placement
