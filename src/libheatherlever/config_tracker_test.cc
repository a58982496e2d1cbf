#include "heatherlever/config_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace heatherlever {
namespace {

constexpr Instant kStart{0};
constexpr Duration kPeerWait = std::chrono::seconds(5);

ConfigRecord Record(std::int64_t version) {
  return {version, "digest " + std::to_string(version), "text"};
}

TEST(ConfigTrackerTest, StoreAnswerAloneMakesReadyOnceApplied) {
  ConfigTracker tracker(kStart, kPeerWait);
  EXPECT_FALSE(tracker.Ready(kStart));
  tracker.StoreHas(4);
  EXPECT_FALSE(tracker.Ready(kStart));
  EXPECT_EQ(tracker.Offer(Record(3)), ConfigOffer::kApplied);
  EXPECT_FALSE(tracker.Ready(kStart));
  EXPECT_EQ(tracker.Offer(Record(4)), ConfigOffer::kApplied);
  EXPECT_TRUE(tracker.Ready(kStart));
}

TEST(ConfigTrackerTest, StoreWithoutConfigurationMakesNoHostReady) {
  ConfigTracker tracker(kStart, kPeerWait);
  tracker.StoreHas(0);
  EXPECT_FALSE(tracker.Ready(kStart + kPeerWait));
}

TEST(ConfigTrackerTest, MajorityOfReadyRegionPeersIsEnough) {
  ConfigTracker tracker(kStart, kPeerWait);
  tracker.SetRegionPeers({"p1", "p2", "p3"});
  tracker.Offer(Record(2));
  tracker.PeerHas("p1", 2, true);
  tracker.PeerHas("p2", 2, false);
  tracker.PeerHas("elsewhere", 2, true);
  EXPECT_FALSE(tracker.Ready(kStart));
  tracker.PeerHas("p2", 2, true);
  EXPECT_TRUE(tracker.Ready(kStart));
}

TEST(ConfigTrackerTest, ReachablePeersAreEnoughOnlyAfterTheWait) {
  ConfigTracker tracker(kStart, kPeerWait);
  tracker.SetRegionPeers({"p1", "p2", "p3"});
  tracker.Offer(Record(2));
  tracker.PeerHas("p1", 2, true);
  tracker.PeerFailed("p2");
  EXPECT_FALSE(tracker.Ready(kStart + kPeerWait));
  tracker.PeerFailed("p3");
  EXPECT_FALSE(tracker.Ready(kStart + kPeerWait - Duration(1)));
  EXPECT_TRUE(tracker.Ready(kStart + kPeerWait));
}

TEST(ConfigTrackerTest, NoPeerAndNoStoreMakeNoHostReady) {
  ConfigTracker tracker(kStart, kPeerWait);
  tracker.Offer(Record(1));
  tracker.SetRegionPeers({"p1"});
  tracker.PeerFailed("p1");
  EXPECT_FALSE(tracker.Ready(kStart + 2 * kPeerWait));
}

TEST(ConfigTrackerTest, AnotherTextUnderTheSameVersionIsRefused) {
  ConfigTracker tracker(kStart, kPeerWait);
  tracker.Offer(Record(1));
  EXPECT_EQ(tracker.Offer({1, "other", "other"}), ConfigOffer::kForked);
  EXPECT_EQ(tracker.current(), Record(1));
}

// Against the naive version: the one in force is the highest offered.
TEST(ConfigTrackerTest, VersionInForceIsTheHighestOffered) {
  EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t>& versions) {
    ConfigTracker tracker(kStart, kPeerWait);
    std::int64_t highest = 0;
    std::map<std::int64_t, std::string> history;
    for (const std::int64_t version : versions) {
      const bool is_higher = version > highest;
      if (is_higher) {
        highest = version;
        history[version] = Record(version).digest;
      }
      const ConfigOffer offer = tracker.Offer(Record(version));
      RC_ASSERT((offer == ConfigOffer::kApplied) == is_higher);
      RC_ASSERT(tracker.version() == highest);
      RC_ASSERT(tracker.history() == history);
    }
  }));
}

// A region of hosts under random publishing, gossip, restarts and store
// outages: a host that becomes ready has at least the version that was in force
// at every ready host.
TEST(ConfigTrackerTest, StartingHostNeverServesBelowTheVersionInForce) {
  EXPECT_TRUE(rc::check([] {
    constexpr std::size_t kHosts = 5;
    std::int64_t published = 1;
    bool store_up = true;
    std::vector<ConfigTracker> hosts;
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts.emplace_back(kStart, kPeerWait);
      hosts.back().StoreHas(1);
      hosts.back().Offer(Record(1));
      hosts.back().Ready(kStart);
    }
    const auto events = *rc::gen::container<
        std::vector<std::tuple<int, std::size_t, std::size_t>>>(rc::gen::tuple(
        rc::gen::inRange(0, 6), rc::gen::inRange<std::size_t>(0, kHosts),
        rc::gen::inRange<std::size_t>(0, kHosts)));
    for (const auto& [event, self, other] : events) {
      std::optional<std::int64_t> in_force;
      for (ConfigTracker& host : hosts) {
        if (host.Ready(kStart)) {
          in_force =
              std::min(in_force.value_or(host.version()), host.version());
        }
      }
      ConfigTracker& host = hosts[self];
      const bool was_ready = host.Ready(kStart);
      if (event == 0) {
        store_up = !store_up;
      } else if (event == 1 && store_up) {
        ++published;
      } else if (event == 2) {
        host = ConfigTracker(kStart, kPeerWait);
        host.SetRegionPeers({"0", "1", "2", "3"});
        continue;
      } else if (event == 3 && store_up) {
        host.StoreHas(published);
        host.Offer(Record(published));
      } else if (self != other) {
        host.PeerHas(std::to_string(other), hosts[other].version(),
                     hosts[other].Ready(kStart));
        if (hosts[other].current()) {
          host.Offer(*hosts[other].current());
        }
      }
      if (!was_ready && host.Ready(kStart) && in_force) {
        RC_ASSERT(host.version() >= *in_force);
      }
    }
  }));
}

}  // namespace
}  // namespace heatherlever
