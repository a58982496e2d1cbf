#include "heatherlever/drain_plan.h"

#include <gtest/gtest.h>

#include <chrono>

#include "heatherlever/deployment_spec.h"

namespace heatherlever {
namespace {

using std::chrono::seconds;

DeploymentSpec MakeSpec() {
  DeploymentSpec spec;
  spec.regions = {{"central", {{"coast", "east"}}, {"a", "b"}},
                  {"west", {}, {"a", "b"}}};
  for (const std::string region : {"central", "west"}) {
    for (const std::string domain : {"a", "b"}) {
      BackendSpec backend;
      backend.name = region + domain;
      backend.service = "levelview";
      backend.region = region;
      backend.domain = domain;
      backend.slots = 9;
      spec.backends.push_back(backend);
    }
  }
  return spec;
}

DrainPlan Make(const DeploymentSpec& spec) {
  auto plan = DrainPlan::Create(spec, seconds(50));
  EXPECT_TRUE(plan.ok()) << plan.status();
  return *std::move(plan);
}

TEST(DrainPlanTest, ARegionDrainsOverItsRamp) {
  DeploymentSpec spec = MakeSpec();
  spec.drains = {{"d", "coast = east", 100, seconds(40)}};
  const DrainPlan plan = Make(spec);
  EXPECT_FALSE(plan.IsDraining(0, seconds(99)));
  EXPECT_EQ(plan.UntilNextStart(seconds(99)), seconds(1));
  EXPECT_TRUE(plan.IsDraining(0, seconds(100)));
  EXPECT_EQ(plan.Share(0, seconds(100)), 0);
  EXPECT_EQ(plan.Share(1, seconds(110)), 0.25);
  EXPECT_EQ(plan.Share(2, seconds(110)), 0);
  EXPECT_EQ(plan.Share(0, seconds(999)), 1);
  EXPECT_EQ(plan.UntilNextStart(seconds(100)), Duration::max());
  const auto pools = plan.Pools(seconds(110));
  ASSERT_EQ(pools.size(), 2U);
  EXPECT_EQ(pools[0].region, "central");
  EXPECT_EQ(pools[0].share, 0.25);
  EXPECT_EQ(pools[0].remaining_slots, 13);
  EXPECT_EQ(pools[1].share, 0);
  EXPECT_EQ(pools[1].remaining_slots, 18);
}

TEST(DrainPlanTest, ServersStopOneAfterAnotherOverTheRamp) {
  DeploymentSpec spec = MakeSpec();
  spec.drains = {{"d", "region = central or name = westb", 100, seconds(40)}};
  const DrainPlan plan = Make(spec);
  const auto working = [&](Duration time) {
    std::vector<bool> result;
    for (std::size_t i = 0; i < spec.backends.size(); ++i) {
      result.push_back(plan.TakesNewWork(i, time));
    }
    return result;
  };
  EXPECT_EQ(working(seconds(119)), (std::vector<bool>{1, 1, 1, 1}));
  EXPECT_EQ(working(seconds(120)), (std::vector<bool>{0, 1, 1, 1}));
  EXPECT_EQ(working(seconds(139)), (std::vector<bool>{0, 1, 1, 1}));
  EXPECT_EQ(working(seconds(140)), (std::vector<bool>{0, 0, 1, 0}));
}

TEST(DrainPlanTest, ADomainDrainLeavesThePoolInPlace) {
  DeploymentSpec spec = MakeSpec();
  spec.drains = {{"d", "region = west and domain = a", 0, Duration(0)}};
  const DrainPlan plan = Make(spec);
  EXPECT_EQ(plan.Share(2, seconds(49)), 0);
  EXPECT_EQ(plan.Share(2, seconds(50)), 1);
  EXPECT_TRUE(plan.TakesNewWork(2, seconds(49)));
  EXPECT_FALSE(plan.TakesNewWork(2, seconds(50)));
  const auto pools = plan.Pools(seconds(50));
  EXPECT_EQ(pools[1].share, 0);
  EXPECT_EQ(pools[1].remaining_slots, 9);
}

TEST(DrainPlanTest, TheFurthestOfSeveralDrainsCounts) {
  DeploymentSpec spec = MakeSpec();
  spec.drains = {{"slow", "name = westa", 100, seconds(100)},
                 {"fast", "region = west", 100, seconds(50)}};
  EXPECT_EQ(Make(spec).Share(2, seconds(125)), 0.5);
}

TEST(DrainPlanTest, BadDrainsAreRefused) {
  DeploymentSpec spec = MakeSpec();
  spec.drains = {{"d", "region =", 0, Duration(0)}};
  EXPECT_EQ(DrainPlan::Create(spec, Duration(0)).status().message(),
            "drain 'd': selector: column 9: expected a label value, found the "
            "end");
  spec.drains = {{"d", "region = nowhere", 0, Duration(0)}};
  EXPECT_EQ(DrainPlan::Create(spec, Duration(0)).status().message(),
            "drain 'd': 'region = nowhere' selects no backend server");
}

}  // namespace
}  // namespace heatherlever
