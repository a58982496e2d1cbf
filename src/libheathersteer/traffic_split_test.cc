#include "heathersteer/traffic_split.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <map>
#include <string>

#include "heathersteer/route.h"

namespace heathersteer {
namespace {

Route MakeRoute(double first, double second) {
  Route route;
  route.name = "r";
  route.services = {{"a", first}, {"b", second}};
  return route;
}

RC_GTEST_PROP(TrafficSplitTest, SharesFollowTheWeightsEvenForFewKeys, ()) {
  const int first = *rc::gen::inRange(1, 100);
  const int keys = *rc::gen::inRange(1, 40);
  const Route route = MakeRoute(first, 100 - first);
  TrafficSplit split;
  std::map<std::string, double> sent;
  constexpr int kRequests = 600;
  for (int i = 0; i < kRequests; ++i) {
    sent[split.Choose(route, std::to_string(*rc::gen::inRange(0, keys)))] += 1;
  }
  RC_ASSERT(std::abs(sent["a"] / kRequests - first / 100.0) < 0.1);
}

TEST(TrafficSplitTest, AKeyMostlyStaysWithOneService) {
  const Route route = MakeRoute(50, 50);
  TrafficSplit split;
  std::map<int, std::map<std::string, int>> sent;
  constexpr int kKeys = 24;
  constexpr int kRounds = 50;
  for (int i = 0; i < kKeys * kRounds; ++i) {
    ++sent[i % kKeys][split.Choose(route, std::to_string(i % kKeys))];
  }
  int same_service = 0;
  for (auto& [key, services] : sent) {
    same_service += std::max(services["a"], services["b"]);
  }
  EXPECT_GT(same_service, kKeys * kRounds * 8 / 10);
}

TEST(TrafficSplitTest, TheOnlyServiceGetsAllRequests) {
  Route route;
  route.services = {{"a", 1}};
  TrafficSplit split;
  EXPECT_EQ(split.Choose(route, "7"), "a");
}

}  // namespace
}  // namespace heathersteer
