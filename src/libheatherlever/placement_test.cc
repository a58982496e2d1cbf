#include "heatherlever/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>

#include "heatherlever/block_table.h"
#include "heatherlever/deployment_spec.h"

namespace heatherlever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kRegionCount = 3;
constexpr int kWestSlots = 50;
const std::vector<std::string> kRegions = {"central", "west", "north"};

// Addresses of clients whose home is the region of the same index.
constexpr std::uint32_t kClients[kRegionCount] = {0x0a000001, 0x0b000001,
                                                  0x0c000001};

DeploymentSpec MakeSpec(double max_shift) {
  DeploymentSpec spec;
  for (std::size_t i = 0; i < kRegionCount; ++i) {
    spec.regions.push_back({kRegions[i], {}, {"a", "b"}});
    spec.backends.push_back({kRegions[i] + "-1",
                             {},
                             "levelview",
                             kRegions[i],
                             "a",
                             "10.0.0.1",
                             80,
                             100,
                             660});
    spec.blocks.push_back({kClients[i] & 0xff000000U, 8, kRegions[i]});
  }
  spec.links = {{"central", "west", milliseconds(12), 4000, 0.5},
                {"central", "north", milliseconds(15), 4000, 0.5},
                {"west", "north", milliseconds(12), 4000, 0.5}};
  KindSpec reading;
  reading.name = "reading";
  reading.service = "levelview";
  reading.idempotent = true;
  KindSpec other = reading;
  other.name = "other";
  spec.kinds = {reading, other};
  spec.rules = {{"readings", "name = reading", "", max_shift}};
  return spec;
}

// No ramps and no weight by age, so that each test sets what it looks at.
PlacementOptions PlainOptions() {
  PlacementOptions options;
  options.headroom_senders = 1;
  options.move_ramp = Duration(0);
  options.return_ramp = Duration(0);
  options.fresh_age = std::chrono::hours(1);
  options.stale_age = std::chrono::hours(2);
  return options;
}

Placement Make(const DeploymentSpec& spec,
               const PlacementOptions& options,
               const std::string& local = "central") {
  auto blocks = BlockTable::Build(spec.blocks, kRegions);
  EXPECT_TRUE(blocks.ok()) << blocks.status();
  auto placement = Placement::Create(
      spec, local, std::make_shared<BlockTable>(*std::move(blocks)), options);
  EXPECT_TRUE(placement.ok()) << placement.status();
  return *std::move(placement);
}

PlacementRequest Request(std::size_t home, std::size_t kind = 0) {
  return {kind, kClients[home], 1000, 1000};
}

void Summarize(Placement* placement,
               const std::string& region,
               int free_slots,
               Instant now,
               int queued = 0) {
  placement->OnSummary("levelview", region, {free_slots, queued, 100, {}, {}},
                       now);
}

TEST(PlacementTest, HomeServesUsualRequests) {
  Placement placement = Make(MakeSpec(0.5), PlainOptions());
  for (std::size_t home = 0; home < kRegionCount; ++home) {
    const auto decision = placement.Decide(Request(home), Instant(0));
    EXPECT_EQ(decision.outcome, PlacementOutcome::kHome);
    EXPECT_EQ(decision.region, home);
  }
  EXPECT_EQ(placement.HomeOf(0xffffffffU), 0U);
}

TEST(PlacementTest, DeadHomeMovesToTheNearestAndRefusesBeyondTheCap) {
  Placement placement = Make(MakeSpec(0.5), PlainOptions());
  Summarize(&placement, "west", 50, Instant(0));
  Summarize(&placement, "north", 90, Instant(0));
  placement.SetRegionDead("central", true);
  const auto first = placement.Decide(Request(0), Instant(0));
  EXPECT_EQ(first.outcome, PlacementOutcome::kRefused);
  EXPECT_EQ(first.reason, PlacementReason::kCapReached);
  EXPECT_GT(first.retry_after, Duration(0));
  const auto second = placement.Decide(Request(0), Instant(0));
  EXPECT_EQ(second.outcome, PlacementOutcome::kMoved);
  EXPECT_EQ(second.region, 1U);
  EXPECT_EQ(second.reason, PlacementReason::kHomeDead);
}

TEST(PlacementTest, AmongRegionsAsNearTheEmptierIsChosen) {
  Placement placement = Make(MakeSpec(1), PlainOptions(), "west");
  placement.SetRegionDead("west", true);
  Summarize(&placement, "central", 5, Instant(0));
  Summarize(&placement, "north", 6, Instant(0));
  EXPECT_EQ(placement.Decide(Request(1), Instant(0)).region, 2U);
  placement.Decide(Request(1), Instant(0));
  EXPECT_EQ(placement.Decide(Request(1), Instant(0)).region, 2U);
}

TEST(PlacementTest, NoRuleMeansNoShift) {
  Placement placement = Make(MakeSpec(1), PlainOptions());
  Summarize(&placement, "west", 50, Instant(0));
  placement.SetRegionDead("central", true);
  EXPECT_EQ(placement.Decide(Request(0, 1), Instant(0)).outcome,
            PlacementOutcome::kRefused);
}

TEST(PlacementTest, OldSummariesCountForLessAndThenForNothing) {
  PlacementOptions options = PlainOptions();
  options.fresh_age = seconds(1);
  options.stale_age = seconds(3);
  Placement placement = Make(MakeSpec(1), options);
  placement.SetRegionDead("central", true);
  Summarize(&placement, "west", 10, Instant(0));
  const auto headroom = [&](Instant now) {
    const auto explanation = placement.Explain(Request(0), now);
    return explanation.candidates[0].headroom;
  };
  placement.Decide(Request(0), Instant(0));
  EXPECT_EQ(headroom(seconds(1)), 9);
  EXPECT_EQ(headroom(seconds(2)), 4);
  EXPECT_EQ(headroom(seconds(3)), 0);
  EXPECT_EQ(placement.Decide(Request(0), seconds(3)).reason,
            PlacementReason::kNoSummary);
}

TEST(PlacementTest, MovesToAColdRegionRampUp) {
  PlacementOptions options = PlainOptions();
  options.move_ramp = seconds(10);
  Placement placement = Make(MakeSpec(1), options);
  placement.SetRegionDead("central", true);
  Summarize(&placement, "west", 100, Instant(0));
  const auto moved_until_refused = [&](Instant now) {
    int moved = 0;
    while (placement.Decide(Request(0), now).outcome ==
           PlacementOutcome::kMoved) {
      ++moved;
    }
    return moved;
  };
  EXPECT_EQ(moved_until_refused(Instant(0)), 10);
  EXPECT_EQ(moved_until_refused(seconds(5)), 45);
  EXPECT_EQ(moved_until_refused(seconds(10)), 45);
}

TEST(PlacementTest, DrainMovesItsShareAndAtItsEndEverything) {
  Placement placement = Make(MakeSpec(1), PlainOptions());
  Summarize(&placement, "west", 1000, Instant(0));
  placement.SetDrainShare("levelview", "central", 0.25);
  int moved = 0;
  for (int i = 0; i < 100; ++i) {
    moved += placement.Decide(Request(0), Instant(0)).outcome ==
             PlacementOutcome::kMoved;
  }
  EXPECT_EQ(moved, 25);
  placement.SetDrainShare("levelview", "central", 1);
  EXPECT_EQ(placement.Decide(Request(0), Instant(0)).reason,
            PlacementReason::kHomeDraining);
  // Without headroom elsewhere, a drained region gets no work either.
  Summarize(&placement, "west", 0, Instant(1));
  const auto refused = placement.Decide(Request(0), Instant(1));
  EXPECT_EQ(refused.outcome, PlacementOutcome::kRefused);
  EXPECT_EQ(placement.Decide(Request(1), Instant(1)).outcome,
            PlacementOutcome::kHome);
}

TEST(PlacementTest, TrafficReturnsSlowly) {
  PlacementOptions options = PlainOptions();
  options.return_ramp = seconds(10);
  Placement placement = Make(MakeSpec(1), options);
  Summarize(&placement, "west", 1000, Instant(0));
  placement.SetRegionDead("central", true);
  placement.Decide(Request(0), Instant(0));
  placement.SetRegionDead("central", false);
  placement.Decide(Request(0), Instant(0));
  int moved = 0;
  for (int i = 0; i < 100; ++i) {
    const auto decision = placement.Decide(Request(0), seconds(7));
    moved += decision.outcome == PlacementOutcome::kMoved;
  }
  EXPECT_EQ(moved, 30);
  EXPECT_EQ(placement.Decide(Request(0), seconds(10)).outcome,
            PlacementOutcome::kHome);
}

TEST(PlacementTest, LinkBudgetBoundsMoves) {
  DeploymentSpec spec = MakeSpec(1);
  // 22 hosts: 1,000 bytes in 100 ms each.
  spec.links[0].capacity_mbit_s = 22 * 0.08;
  spec.links[0].max_share = 1;
  Placement placement = Make(spec, PlainOptions());
  placement.SetRegionDead("central", true);
  Summarize(&placement, "west", 1000, Instant(0));
  EXPECT_EQ(placement.Decide(Request(0), seconds(1)).outcome,
            PlacementOutcome::kMoved);
  EXPECT_EQ(placement.Decide(Request(0), seconds(1)).reason,
            PlacementReason::kLinkBudget);
  EXPECT_EQ(placement.Decide(Request(0), milliseconds(1100)).outcome,
            PlacementOutcome::kMoved);
}

TEST(PlacementTest, AdoptKeepsCountsAndChangesTheCap) {
  Placement before = Make(MakeSpec(1), PlainOptions());
  before.SetRegionDead("central", true);
  Summarize(&before, "west", 5, Instant(0));
  before.Decide(Request(0), Instant(0));
  Placement same = Make(MakeSpec(1), PlainOptions());
  same.Adopt(before, Instant(1));
  auto explanation = same.Explain(Request(0), Instant(1));
  EXPECT_EQ(explanation.moved, 1U);
  EXPECT_EQ(explanation.candidates[0].headroom, 4);
  Placement lower = Make(MakeSpec(0.25), PlainOptions());
  lower.Adopt(before, Instant(1));
  explanation = lower.Explain(Request(0), Instant(1));
  EXPECT_EQ(explanation.cap, 0.25);
  EXPECT_EQ(explanation.total, 0U);
}

TEST(PlacementTest, ExplanationNamesEveryReason) {
  Placement placement = Make(MakeSpec(1), PlainOptions());
  Summarize(&placement, "west", 2, Instant(0));
  placement.SetRegionDead("central", true);
  EXPECT_EQ(placement.Explain(Request(0), Instant(0)).Lines(),
            (std::vector<std::string>{
                "kind reading, rule readings", "home central",
                "leaving home 100 % (home-dead)", "cap 100 %, moved 0 of 0",
                "candidate west: chosen, delay 12 ms, headroom 2",
                "candidate north: no-summary, delay 15 ms, headroom 0",
                "outcome moved to west (home-dead)"}));
}

// Hosts that divide the same free slots by their number, while the pool serves
// nobody else, never fill it beyond its slots.
RC_GTEST_PROP(PlacementTest, EqualPartsTogetherNeverExceedThePool, ()) {
  const int hosts = *rc::gen::inRange(1, 8);
  std::vector<Placement> placements;
  std::vector<int> in_flight(static_cast<std::size_t>(hosts), 0);
  for (int i = 0; i < hosts; ++i) {
    placements.push_back(Make(MakeSpec(1), PlainOptions()));
    placements.back().SetHeadroomSenders(hosts, i);
    placements.back().SetRegionDead("central", true);
  }
  int used = 0;
  for (int step = 0; step < 40; ++step) {
    for (Placement& placement : placements) {
      Summarize(&placement, "west", kWestSlots - used, Instant(step));
    }
    for (std::size_t i = 0; i < placements.size(); ++i) {
      for (int n = *rc::gen::inRange(0, in_flight[i] + 1); n > 0; --n) {
        placements[i].OnMoveDone(0, 1);
        --in_flight[i];
      }
      for (int n = *rc::gen::inRange(0, 60); n > 0; --n) {
        in_flight[i] +=
            placements[i].Decide(Request(0), Instant(step)).outcome ==
            PlacementOutcome::kMoved;
      }
    }
    used = 0;
    for (const int count : in_flight) {
      used += count;
    }
    RC_ASSERT(used <= kWestSlots);
  }
}

// A plain second version of the choice, for options without ramps.
class NaivePlacement {
 public:
  struct Region {
    bool dead = false;
    double drain = 0;
    // Most requests in flight, as the reports allow.
    int limit = 0;
    int in_flight = 0;
    int in_flight_at_report = 0;

    // Free slots come on top of the requests that the report saw in slots.
    void Report(int free_slots) {
      limit = std::min(in_flight, in_flight_at_report) + free_slots;
      in_flight_at_report = in_flight;
    }
  };

  explicit NaivePlacement(int percent) : percent_(percent) {}

  PlacementOutcome Decide(std::size_t home, std::size_t* region) {
    *region = home;
    const bool must_leave = regions[home].dead || regions[home].drain == 1;
    ++total_[home];
    if (!must_leave) {
      return PlacementOutcome::kHome;
    }
    std::vector<std::pair<int, std::size_t>> open;
    for (std::size_t i = 0; i < kRegionCount; ++i) {
      const Region& candidate = regions[i];
      if (i != home && !candidate.dead && candidate.drain == 0 &&
          candidate.limit > candidate.in_flight) {
        // Delays from central: to itself, west and north.
        open.emplace_back(std::vector<int>{0, 12, 15}[i], i);
      }
    }
    if (open.empty() || (moved_[home] + 1) * 100 > total_[home] * percent_) {
      return PlacementOutcome::kRefused;
    }
    *region = std::min_element(open.begin(), open.end())->second;
    ++moved_[home];
    ++regions[*region].in_flight;
    return PlacementOutcome::kMoved;
  }

  Region regions[kRegionCount];

 private:
  int percent_;
  int total_[kRegionCount] = {};
  int moved_[kRegionCount] = {};
};

RC_GTEST_PROP(PlacementTest, EqualsNaiveVersion, ()) {
  const int percent = *rc::gen::inRange(0, 101);
  NaivePlacement naive(percent);
  Placement placement = Make(MakeSpec(percent / 100.0), PlainOptions());
  for (int step = 0; step < 100; ++step) {
    const auto region = *rc::gen::inRange<std::size_t>(0, kRegionCount);
    NaivePlacement::Region& state = naive.regions[region];
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        state.dead = !state.dead;
        placement.SetRegionDead(kRegions[region], state.dead);
        break;
      case 1:
        state.drain = 1 - state.drain;
        placement.SetDrainShare("levelview", kRegions[region], state.drain);
        break;
      case 2: {
        const int free_slots = *rc::gen::inRange(0, 20);
        state.Report(free_slots);
        Summarize(&placement, kRegions[region], free_slots, Instant(step));
        break;
      }
      case 3:
        state.in_flight = std::max(0, state.in_flight - 1);
        placement.OnMoveDone(0, region);
        break;
      default: {
        const auto expected =
            placement.Explain(Request(region), Instant(step)).decision;
        const auto decision = placement.Decide(Request(region), Instant(step));
        std::size_t target = 0;
        const auto outcome = naive.Decide(region, &target);
        RC_ASSERT(decision.outcome == outcome);
        RC_ASSERT(decision.region == target);
        RC_ASSERT(expected.outcome == outcome);
        RC_ASSERT(expected.region == target);
        RC_ASSERT(expected.reason == decision.reason);
        RC_ASSERT((decision.retry_after > Duration(0)) ==
                  (outcome == PlacementOutcome::kRefused));
      }
    }
  }
}

TEST(PlacementTest, BadSelectorsAndRegionsAreRefused) {
  DeploymentSpec spec = MakeSpec(1);
  spec.rules[0].to = "region =";
  const auto blocks = std::make_shared<BlockTable>();
  EXPECT_EQ(Placement::Create(spec, "central", blocks, {}).status().message(),
            "rule 'readings', to: selector: column 9: expected a label value, "
            "found the end");
  EXPECT_EQ(
      Placement::Create(MakeSpec(1), "south", blocks, {}).status().message(),
      "placement: no region is named 'south'");
}

}  // namespace
}  // namespace heatherlever
