#include "heathersteer/placement.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "heathersteer/route.h"
#include "heathersteer/service.h"
#include "heathersteer/shift_limiter.h"

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow = seconds(100);
constexpr int kServersPerRegion = 6;
constexpr int kSlots = 3;
constexpr int kKeys = 68;

BackendServer MakeServer(const std::string& id, const std::string& region) {
  BackendServer server;
  server.id = id;
  server.service = "proofs";
  server.region = region;
  server.domain = region + "-a";
  server.slots = kSlots;
  return server;
}

class PlacementTest : public ::testing::Test {
 protected:
  PlacementTest() {
    for (const std::string region : {"north", "south"}) {
      for (int i = 0; i < kServersPerRegion; ++i) {
        table_.Put(MakeServer(region + std::to_string(i), region));
      }
    }
    service_.name = "proofs";
    service_.cold_requests_per_s = 10;
    route_.target_latency = milliseconds(200);
    route_.timeout = seconds(1);
  }

  static PlacementOptions Options(const std::string& region,
                                  const std::string& host = "host") {
    PlacementOptions options;
    options.host = host;
    options.region = region;
    options.domain = region + "-a";
    options.host_count = 1;
    return options;
  }

  PlacementRequest Request(const std::string& key) const {
    PlacementRequest request;
    request.route = &route_;
    request.service = &service_;
    request.affinity_key = key;
    request.tried = &tried_;
    return request;
  }

  // Whether the choice reports the preferred server when all servers are full.
  bool NamesPreferredWhenFull(const Placement& placement,
                              const std::string& key) {
    const auto before = Choose(placement, key);
    for (const auto& state : table_.OfService("proofs")) {
      Fill(state->server.id);
    }
    const PlacementRequest request = Request(key);
    const PlacementChoice choice = placement.Choose(table_, request, kNow);
    return choice.server == nullptr && choice.preferred == before;
  }

  std::shared_ptr<ServerState> Choose(const Placement& placement,
                                      const std::string& key,
                                      Instant now = kNow) {
    const PlacementRequest request = Request(key);
    return placement.Choose(table_, request, now).server;
  }

  void Fill(const std::string& id) {
    for (int i = 0; i < kSlots * 3; ++i) {
      table_.Find(id)->load.Sent();
    }
  }

  ServerTable table_;
  Route route_;
  Service service_;
  std::vector<std::string> tried_;
};

TEST_F(PlacementTest, ReportsThePreferredServerWhenAllAreFull) {
  EXPECT_TRUE(NamesPreferredWhenFull(Placement(Options("north")), "7"));
}

TEST_F(PlacementTest, HostsOfADomainChooseTheSameServerForEachKey) {
  const Placement first(Options("north", "first"));
  const Placement second(Options("north", "second"));
  for (int key = 0; key < kKeys; ++key) {
    EXPECT_EQ(Choose(first, std::to_string(key)),
              Choose(second, std::to_string(key)));
  }
}

TEST_F(PlacementTest, PrefersTheLocalRegion) {
  const Placement placement(Options("north"));
  int local = 0;
  for (int key = 0; key < kKeys; ++key) {
    local += Choose(placement, std::to_string(key))->server.region == "north";
  }
  EXPECT_GT(local, kKeys / 2);
}

// While all servers are full, the requests of one key must not spread over all
// of them, which would make the key cold everywhere.
TEST_F(PlacementTest, AKeyReachesAtMostTwoServersWhenAllAreFull) {
  const Placement placement(Options("north"));
  for (int key = 0; key < kKeys; ++key) {
    std::set<std::string> reached;
    ServerTable fresh;
    for (int i = 0; i < kServersPerRegion; ++i) {
      fresh.Put(MakeServer("north" + std::to_string(i), "north"));
      fresh.Put(MakeServer("south" + std::to_string(i), "south"));
    }
    table_ = fresh;
    while (const auto server = Choose(placement, std::to_string(key))) {
      reached.insert(server->server.id);
      server->load.Sent();
    }
    EXPECT_LE(reached.size(), 2U) << "key " << key;
  }
}

// If no other region may take the overflow, a second local server does.
TEST_F(PlacementTest, AKeyThatCannotBeShiftedReachesTwoServers) {
  route_.home_regions = {"north"};
  const Placement placement(Options("north"));
  std::set<std::string> reached;
  while (const auto server = Choose(placement, "7")) {
    reached.insert(server->server.id);
    server->load.Sent();
  }
  EXPECT_EQ(reached.size(), 2U);
}

TEST_F(PlacementTest, OverflowGoesToTheServerThatTheOtherRegionPrefers) {
  PlacementOptions remote_only = Options("north");
  remote_only.local_choices = 0;
  const Placement overflow(remote_only);
  const Placement remote(Options("south"));
  for (int key = 0; key < kKeys; ++key) {
    const auto home = Choose(remote, std::to_string(key));
    if (home->server.region == "south") {
      EXPECT_EQ(Choose(overflow, std::to_string(key)), home);
    }
  }
}

TEST_F(PlacementTest, DrainingEvacuatedAndTriedServersGetNothing) {
  const Placement placement(Options("north"));
  const auto first = Choose(placement, "7");
  BackendServer draining = first->server;
  draining.draining = true;
  table_.Put(draining);
  const auto second = Choose(placement, "7");
  EXPECT_NE(second, first);
  tried_.push_back(second->server.id);
  EXPECT_NE(Choose(placement, "7"), second);
  table_.SetEvacuated({"north-a"});
  EXPECT_EQ(Choose(placement, "7")->server.region, "south");
}

// Leaving servers went on getting requests until the list showed that they had
// left, which an outage of the store delays.
TEST_F(PlacementTest, LeavingServerGetsNoRequests) {
  const Placement placement(Options("north"));
  table_.RecordLeaving("north0", 0, kNow);
  for (int i = 0; i < kKeys; ++i) {
    EXPECT_NE(Choose(placement, std::to_string(i))->server.id, "north0");
  }
}

// Requests that no other server can take are better served by a server that is
// leaving than rejected, as long as it is sure to go on.
TEST_F(PlacementTest, LeavingServersServeForAWhileIfNoOtherCan) {
  const PlacementOptions options = Options("north");
  const Placement placement(options);
  for (const auto& state : table_.OfService("proofs")) {
    table_.RecordLeaving(state->server.id, 0, kNow);
  }
  const Instant end = kNow + options.leaving_grace;
  EXPECT_NE(Choose(placement, "a", kNow), nullptr);
  EXPECT_NE(Choose(placement, "a", end - milliseconds(1)), nullptr);
  EXPECT_EQ(Choose(placement, "a", end), nullptr);
  table_.Put(MakeServer("new", "south"));
  EXPECT_EQ(Choose(placement, "a", kNow)->server.id, "new");
  EXPECT_EQ(Choose(placement, "a", end)->server.id, "new");
}

TEST_F(PlacementTest, HomeRegionsApplyEvenWhenTheirServersAreFull) {
  route_.home_regions = {"south"};
  const Placement placement(Options("north"));
  EXPECT_EQ(Choose(placement, "7")->server.region, "south");
  for (int i = 0; i < kServersPerRegion; ++i) {
    Fill("south" + std::to_string(i));
  }
  EXPECT_EQ(Choose(placement, "7"), nullptr);
}

// A failure domain restarts cold under full load. In every second all hosts
// together must keep to the request rate of a cold server.
TEST_F(PlacementTest, HostsTogetherKeepToTheRateOfAColdServer) {
  constexpr int kHosts = 22;
  constexpr double kFactor = 1.5;
  constexpr double kSlack = 5;
  BackendServer cold = MakeServer("cold", "north");
  cold.cold_until = kNow + seconds(30);
  std::vector<Placement> hosts;
  std::vector<ServerTable> tables(kHosts);
  std::vector<HostLocation> locations;
  for (int i = 0; i < kHosts; ++i) {
    const PlacementOptions options =
        Options("north", "host" + std::to_string(i));
    locations.push_back({options.host, options.region, options.domain});
    hosts.emplace_back(options);
    tables[i].Put(cold);
  }
  for (Placement& host : hosts) {
    host.cold_parts().SetHosts(locations, kNow);
  }
  std::vector<Instant> arrivals;
  for (Instant now = kNow; now < kNow + seconds(20); now += milliseconds(20)) {
    for (int i = 0; i < kHosts; ++i) {
      const PlacementRequest request = Request("7");
      const auto server = hosts[i].Choose(tables[i], request, now).server;
      if (server != nullptr) {
        hosts[i].Commit(*server, now);
        server->load.Finished();
        arrivals.push_back(now);
      }
    }
  }
  ASSERT_GT(arrivals.size(), 100U);
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    std::size_t last = i;
    while (last < arrivals.size() &&
           arrivals[last] - arrivals[i] < seconds(1)) {
      ++last;
    }
    ASSERT_LE(last - i, service_.cold_requests_per_s * kFactor + kSlack);
  }
}

TEST_F(PlacementTest, AFailedServerIsSuspendedAndThenOnProbation) {
  const Placement placement(Options("north"));
  const auto first = Choose(placement, "7");
  first->health.RecordFailure(kNow);
  EXPECT_NE(Choose(placement, "7"), first);
  EXPECT_TRUE(first->cold(kNow + seconds(1)));
  EXPECT_FALSE(first->cold(kNow + seconds(10)));
  EXPECT_EQ(Choose(placement, "7", kNow + seconds(10)), first);
}

// Requests waited for a token that could not come in time.
TEST_F(PlacementTest, TellsHowLongAllServersAreAtTheirLimits) {
  const Placement placement(Options("north"));
  for (const auto& server : table_.OfService("proofs")) {
    server->rate_limit.Observe(0.5, kNow);
  }
  const auto limited = placement.Choose(table_, Request("key"), kNow);
  EXPECT_EQ(limited.server, nullptr);
  EXPECT_GT(limited.limited_for, milliseconds(0));
  EXPECT_LE(limited.limited_for, seconds(2));
  table_.Find("north3")->rate_limit.Observe(0, kNow + milliseconds(1));
  const auto free = placement.Choose(table_, Request("key"), kNow);
  EXPECT_EQ(free.server->server.id, "north3");
  EXPECT_EQ(free.limited_for, milliseconds(0));
}

// Servers that wanted no requests for a time got them all the same.
TEST_F(PlacementTest, ServerGetsNoRequestsUntilTheEndOfItsBackoff) {
  const Placement placement(Options("north"));
  const auto first = Choose(placement, "7");
  first->backoff_until = kNow + seconds(2);
  EXPECT_NE(Choose(placement, "7"), first);
  EXPECT_NE(Choose(placement, "7", kNow + milliseconds(1999)), first);
  EXPECT_EQ(Choose(placement, "7", kNow + seconds(2)), first);
}

TEST_F(PlacementTest, TellsHowLongAllServersWantNoRequests) {
  const Placement placement(Options("north"));
  for (const auto& server : table_.OfService("proofs")) {
    server->backoff_until = kNow + seconds(60);
  }
  table_.Find("south1")->backoff_until = kNow + seconds(3);
  const auto none = placement.Choose(table_, Request("7"), kNow);
  EXPECT_EQ(none.server, nullptr);
  EXPECT_EQ(none.backoff_left, seconds(3));
  EXPECT_GE(none.limited_for, seconds(3));
  // A server that is only full may have a free slot at any moment.
  table_.Find("north3")->backoff_until = kNow;
  Fill("north3");
  const auto full = placement.Choose(table_, Request("7"), kNow);
  EXPECT_EQ(full.server, nullptr);
  EXPECT_EQ(full.backoff_left, seconds(0));
  EXPECT_EQ(full.limited_for, seconds(0));
}

TEST_F(PlacementTest, ServersThatTurnedTheRequestAwayCountForTheBackoff) {
  const Placement placement(Options("north"));
  for (const auto& server : table_.OfService("proofs")) {
    server->backoff_until = kNow + seconds(2);
    tried_.push_back(server->server.id);
  }
  EXPECT_EQ(placement.Choose(table_, Request("7"), kNow).backoff_left,
            seconds(2));
  table_.Find("north3")->backoff_until = kNow;
  EXPECT_EQ(placement.Choose(table_, Request("7"), kNow).backoff_left,
            seconds(0));
}

// A region without a server for now must not hold back what others can serve.
TEST_F(PlacementTest, RequestsLeaveARegionWhoseServersAllWantNone) {
  const Placement placement(Options("north"));
  ShiftLimiter limiter(0.01);
  limiter.Observe(false, kNow - seconds(10));
  while (limiter.MayShift(kNow)) {
    limiter.Sent(true, kNow);
  }
  PlacementRequest request = Request("7");
  request.shift_limiter = &limiter;
  for (int i = 0; i < kServersPerRegion; ++i) {
    table_.Find("north" + std::to_string(i))->backoff_until = kNow + seconds(2);
  }
  const auto choice = placement.Choose(table_, request, kNow);
  ASSERT_NE(choice.server, nullptr);
  EXPECT_EQ(choice.server->server.region, "south");
}

TEST_F(PlacementTest, LeavingServersServeWhileAllOthersWantNone) {
  const Placement placement(Options("north"));
  for (const auto& server : table_.OfService("proofs")) {
    server->backoff_until = kNow + seconds(60);
  }
  table_.Find("north3")->backoff_until = Instant(0);
  table_.Find("north3")->leaving_since = kNow;
  const auto choice = placement.Choose(table_, Request("7"), kNow);
  ASSERT_NE(choice.server, nullptr);
  EXPECT_EQ(choice.server->server.id, "north3");
}

// A host that had just started took a whole limit.
TEST_F(PlacementTest, LimitedServerGetsNothingWhileTheHostsAreNotCounted) {
  Placement placement(Options("north"));
  placement.set_host_count(0);
  for (const auto& server : table_.OfService("proofs")) {
    server->rate_limit.Observe(10, kNow);
  }
  for (int i = 0; i < 5; ++i) {
    const auto choice =
        placement.Choose(table_, Request("key"), kNow + seconds(i));
    ASSERT_EQ(choice.server, nullptr);
    EXPECT_GT(choice.limited_for, seconds(5));
  }
  placement.set_host_count(1);
  placement.Choose(table_, Request("key"), kNow + seconds(5));
  EXPECT_NE(Choose(placement, "key", kNow + seconds(6)), nullptr);
}

// A connection may take long to be established.
TEST_F(PlacementTest, RequestsAreNotWrittenToServersThatChangedSinceTheChoice) {
  const Placement placement(Options("north"));
  const auto server = Choose(placement, "key");
  EXPECT_TRUE(Placement::ConfirmSend(*server, false, kNow));
  server->server.cold_until = kNow + seconds(3);
  EXPECT_FALSE(Placement::ConfirmSend(*server, false, kNow));
  EXPECT_TRUE(Placement::ConfirmSend(*server, true, kNow));
  server->backoff_until = kNow + seconds(1);
  EXPECT_FALSE(Placement::ConfirmSend(*server, true, kNow));
  server->backoff_until = kNow;
  server->server.draining = true;
  EXPECT_FALSE(Placement::ConfirmSend(*server, true, kNow));
  server->server.draining = false;
  table_.KeepOnly({});
  EXPECT_FALSE(Placement::ConfirmSend(*server, true, kNow));
}

TEST_F(PlacementTest, ThePartOfAColdServerCountsFromTheWrite) {
  service_.cold_requests_per_s = 1;
  Placement placement(Options("north", "host"));
  placement.cold_parts().SetHosts({{"host", "north", "north-a"}}, kNow);
  BackendServer cold = MakeServer("cold", "north");
  cold.cold_until = kNow + seconds(30);
  ServerTable table;
  table.Put(cold);
  const Instant chosen = kNow + seconds(5);
  const auto server = placement.Choose(table, Request("key"), chosen).server;
  ASSERT_NE(server, nullptr);
  placement.Commit(*server, chosen);
  const Instant written = chosen + milliseconds(300);
  EXPECT_TRUE(Placement::ConfirmSend(*server, true, written));
  EXPECT_EQ(placement.Choose(table, Request("key"), written + milliseconds(999))
                .server,
            nullptr);
  EXPECT_EQ(
      placement.Choose(table, Request("key"), written + milliseconds(1001))
          .server,
      server);
}

// Requests were queued for servers that could not take them in time.
TEST_F(PlacementTest, TellsThatAllServersAreColdAndForHowLong) {
  const Placement placement(Options("north"));
  for (int i = 0; i < kServersPerRegion; ++i) {
    for (const std::string region : {"north", "south"}) {
      BackendServer cold = MakeServer(region + std::to_string(i), region);
      cold.cold_until = kNow + seconds(3 + i);
      table_.Put(cold);
    }
  }
  const auto limited = placement.Choose(table_, Request("key"), kNow);
  EXPECT_EQ(limited.server, nullptr);
  EXPECT_EQ(limited.limited_for, seconds(3));
  EXPECT_TRUE(limited.limited_by_cold);
  const auto later =
      placement.Choose(table_, Request("key"), kNow + milliseconds(3500));
  EXPECT_EQ(later.server->server.id.back(), '0');
  EXPECT_EQ(later.limited_for, seconds(0));
  EXPECT_FALSE(later.limited_by_cold);
}

}  // namespace
}  // namespace heathersteer
