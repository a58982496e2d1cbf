#include "heatherlever/epoch_planner.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace heatherlever {
namespace {

constexpr Duration kHysteresis = std::chrono::seconds(5);
constexpr Instant kStart{0};

HostRecord Host(const std::string& name, const std::string& incarnation = "1") {
  return {name, incarnation, "127.0.0.1", 80, 81, "suva", "d1", false};
}

HostRecord Leaving(HostRecord host) {
  host.leaving = true;
  return host;
}

EpochRecord FirstEpoch() {
  return {1, 1, {Host("a"), Host("b")}};
}

TEST(EpochPlannerTest, FirstEpochTakesEveryHostAtOnce) {
  EpochPlanner planner(kHysteresis);
  EXPECT_EQ(planner.Decide(kStart, std::nullopt, {}, 1), std::nullopt);
  EXPECT_EQ(planner.Decide(kStart, std::nullopt, {Host("b"), Host("a")}, 1),
            FirstEpoch());
}

TEST(EpochPlannerTest, LeavingHostIsTakenOutAfterTheHysteresis) {
  EpochPlanner planner(kHysteresis);
  const std::vector<HostRecord> hosts = {Host("a"), Leaving(Host("b"))};
  EXPECT_EQ(planner.Decide(kStart, FirstEpoch(), hosts, 1), std::nullopt);
  EXPECT_EQ(planner.Decide(kStart + kHysteresis - Duration(1), FirstEpoch(),
                           hosts, 1),
            std::nullopt);
  EXPECT_EQ(planner.Decide(kStart + kHysteresis, FirstEpoch(), hosts, 1),
            (EpochRecord{2, 1, {Host("a")}}));
}

TEST(EpochPlannerTest, UnsteadyHostDelaysNoOtherChange) {
  EpochPlanner planner(kHysteresis);
  const std::vector<HostRecord> steady = {Host("a"), Host("b"), Host("c")};
  const std::vector<HostRecord> without_b = {Host("a"), Host("c")};
  planner.Decide(kStart, FirstEpoch(), steady, 1);
  planner.Decide(kStart + kHysteresis / 2, FirstEpoch(), without_b, 1);
  EXPECT_EQ(planner.Decide(kStart + kHysteresis, FirstEpoch(), without_b, 1),
            (EpochRecord{2, 1, steady}));
}

TEST(EpochPlannerTest, NewIncarnationStartsItsOwnWait) {
  EpochPlanner planner(kHysteresis);
  planner.Decide(kStart, FirstEpoch(), {Host("a"), Host("b", "2")}, 1);
  const std::vector<HostRecord> hosts = {Host("a"), Host("b", "3")};
  EXPECT_EQ(planner.Decide(kStart + kHysteresis, FirstEpoch(), hosts, 1),
            std::nullopt);
  EXPECT_EQ(planner.Decide(kStart + 2 * kHysteresis, FirstEpoch(), hosts, 1),
            (EpochRecord{2, 1, hosts}));
}

TEST(EpochPlannerTest, EpochNeverLosesItsLastMember) {
  EpochPlanner planner(kHysteresis);
  planner.Decide(kStart, FirstEpoch(), {}, 1);
  EXPECT_EQ(planner.Decide(kStart + kHysteresis, FirstEpoch(), {}, 1),
            std::nullopt);
}

TEST(EpochPlannerTest, LaterConfigurationIsTakenAfterTheHysteresis) {
  EpochPlanner planner(kHysteresis);
  const std::vector<HostRecord> hosts = FirstEpoch().members;
  EXPECT_EQ(planner.Decide(kStart, FirstEpoch(), hosts, 2), std::nullopt);
  EXPECT_EQ(planner.Decide(kStart + kHysteresis, FirstEpoch(), hosts, 2),
            (EpochRecord{2, 2, hosts}));
  EXPECT_EQ(planner.Decide(kStart + kHysteresis, FirstEpoch(), hosts, 0),
            std::nullopt);
}

TEST(EpochPlannerTest, RecordsRoundTrip) {
  EXPECT_EQ(EpochRecord::Parse(FirstEpoch().Encode()).value(), FirstEpoch());
  EXPECT_FALSE(EpochRecord::Parse("[]").ok());
}

// Against the naive version, which looks through the whole past: a host's
// membership changes exactly when every observation within the hysteresis
// wanted the same change, and one was at least that old.
TEST(EpochPlannerTest, ChangesExactlyWhatHasDifferedForTheHysteresis) {
  EXPECT_TRUE(rc::check([] {
    EpochPlanner planner(kHysteresis);
    EpochRecord epoch = {1, 1, {Host("0"), Host("1")}};
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 16)));
    std::vector<std::pair<Instant, int>> past;
    Instant now = kStart;
    for (const auto& [seconds, present] : steps) {
      now += std::chrono::seconds(seconds);
      past.emplace_back(now, present);
      std::vector<HostRecord> hosts;
      std::vector<HostRecord> expected;
      for (int host = 0; host < 4; ++host) {
        const auto name = std::to_string(host);
        const bool is_listed = (present >> host & 1) != 0;
        if (is_listed) {
          hosts.push_back(Host(name));
        }
        const bool was_member =
            std::count(epoch.members.begin(), epoch.members.end(),
                       Host(name)) != 0;
        Instant since = now;
        for (auto seen = past.rbegin(); seen != past.rend(); ++seen) {
          if (((seen->second >> host & 1) != 0) == was_member) {
            break;
          }
          since = seen->first;
        }
        const bool changes =
            is_listed != was_member && now - since >= kHysteresis;
        if (was_member != changes) {
          expected.push_back(Host(name));
        }
      }
      const auto next = planner.Decide(now, epoch, hosts, 1);
      const bool is_due = expected != epoch.members && !expected.empty();
      RC_ASSERT(next.has_value() == is_due);
      if (next) {
        RC_ASSERT(next->members == expected);
        epoch = *next;
      }
    }
  }));
}

}  // namespace
}  // namespace heatherlever
