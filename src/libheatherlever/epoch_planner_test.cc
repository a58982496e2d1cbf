#include "heatherlever/epoch_planner.h"

#include <gtest/gtest.h>

#include "heatherlever/deployment_spec.h"
#include "heatherlever/epoch_codec.h"

namespace heatherlever {
namespace {

constexpr Duration kMissingTime = std::chrono::seconds(2);

HostRecord Host(const std::string& name,
                const std::string& region,
                const std::string& domain) {
  HostRecord host;
  host.name = name;
  host.incarnation = 1;
  host.region = region;
  host.domain = domain;
  return host;
}

class EpochPlannerTest : public testing::Test {
 protected:
  EpochPlannerTest() {
    spec_.regions = {{"west", {}, {"w1", "w2"}}, {"east", {}, {"e1", "e2"}}};
    spec_.links = {{"west", "east", Duration(12000), 4000, 1}};
    KindSpec kind;
    kind.name = "bookings";
    kind.service = "cartage";
    spec_.kinds = {kind};
    input_.spec = &spec_;
    input_.config_version = 1;
    input_.hosts = {Host("a", "west", "w1"), Host("b", "west", "w2"),
                    Host("c", "east", "e1"), Host("d", "east", "e2")};
  }

  PoolAssignment Pool(const EpochRecord& record, const std::string& name) {
    for (const PoolAssignment& pool : record.pools) {
      if (pool.pool == name) {
        return pool;
      }
    }
    ADD_FAILURE() << "no pool " << name;
    return {};
  }

  DeploymentSpec spec_;
  EpochInput input_;
  EpochPlanner planner_{kMissingTime};
};

TEST_F(EpochPlannerTest, HomeAndBuddyAreInDifferentDomainsOfTheRegion) {
  const auto first = planner_.Plan(std::nullopt, input_, Instant(0));
  ASSERT_TRUE(first);
  const PoolAssignment pool = Pool(*first, "cartage@west");
  ASSERT_EQ(pool.term.members.size(), 2u);
  EXPECT_EQ(pool.term.number, 1u);
  EXPECT_EQ(pool.previous.number, 0u);
  EXPECT_NE(pool.term.members[0].name, pool.term.members[1].name);
  EXPECT_EQ(planner_.Plan(first, input_, Instant(1)), std::nullopt);
}

TEST_F(EpochPlannerTest, AHostMissingShortlyStays) {
  const auto first = planner_.Plan(std::nullopt, input_, Instant(0));
  input_.hosts.pop_back();
  EXPECT_FALSE(planner_.Plan(first, input_, Instant(0)));
  EXPECT_FALSE(planner_.Plan(first, input_, kMissingTime - Duration(1)));
  const auto second = planner_.Plan(first, input_, kMissingTime);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->members.size(), 3u);
  EXPECT_EQ(second->number, 2u);
}

TEST_F(EpochPlannerTest, ARestartedHostBeginsANewTerm) {
  const auto first = planner_.Plan(std::nullopt, input_, Instant(0));
  ++input_.hosts[0].incarnation;
  const auto second = planner_.Plan(first, input_, Instant(1));
  ASSERT_TRUE(second);
  EXPECT_EQ(Pool(*second, "cartage@west").term.number, 2u);
  EXPECT_EQ(Pool(*second, "cartage@west").previous,
            Pool(*first, "cartage@west").term);
  EXPECT_EQ(Pool(*second, "cartage@east").term.number, 1u);
}

TEST_F(EpochPlannerTest, AnotherRegionActsForOneWithoutHosts) {
  const auto first = planner_.Plan(std::nullopt, input_, Instant(0));
  input_.hosts.erase(input_.hosts.begin(), input_.hosts.begin() + 2);
  EXPECT_FALSE(planner_.Plan(first, input_, Instant(1)));
  const auto second = planner_.Plan(first, input_, Instant(1) + kMissingTime);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->acting_regions.at("west"), "east");
  EXPECT_EQ(Pool(*second, "cartage@west").term.members,
            Pool(*second, "cartage@east").term.members);
}

TEST_F(EpochPlannerTest, AnEmptyListChangesNothing) {
  const auto first = planner_.Plan(std::nullopt, input_, Instant(0));
  input_.hosts.clear();
  planner_.Plan(first, input_, Instant(0));
  EXPECT_FALSE(planner_.Plan(first, input_, 2 * kMissingTime));
}

TEST_F(EpochPlannerTest, RecordsRoundTripAsText) {
  const auto first = planner_.Plan(std::nullopt, input_, Instant(0));
  const auto decoded = DecodeEpoch(EncodeEpoch(*first));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(decoded->pools, first->pools);
  EXPECT_EQ(decoded->members, first->members);
  EXPECT_FALSE(DecodeEpoch("{}").ok());
}

}  // namespace
}  // namespace heatherlever
