#include "heathersteer/server_change_log.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

#include "heathersteer/server_list.h"

namespace heathersteer {
namespace {

using heatherlever::Instant;

BackendServer MakeServer(const std::string& id, int slots = 1) {
  BackendServer server;
  server.id = id;
  server.slots = slots;
  return server;
}

std::vector<std::string> Ids(const std::vector<BackendServer>& servers) {
  std::vector<std::string> ids;
  for (const BackendServer& server : servers) {
    ids.push_back(server.id);
  }
  return ids;
}

TEST(ServerChangeLogTest, ADeltaHasOnlyLaterChanges) {
  ServerChangeLog changes;
  changes.Update({MakeServer("a"), MakeServer("b")});
  const std::uint64_t known = changes.sequence();
  changes.Update({MakeServer("a", 2), MakeServer("c")});
  const ServerDelta delta = changes.Since(known);
  EXPECT_FALSE(delta.full);
  EXPECT_EQ(Ids(delta.changed), (std::vector<std::string>{"a", "c"}));
  EXPECT_EQ(delta.removed, std::vector<std::string>{"b"});
  EXPECT_TRUE(changes.Since(changes.sequence()).changed.empty());
}

TEST(ServerChangeLogTest, AnUnknownSequenceGetsTheFullList) {
  ServerChangeLog changes;
  changes.Update({MakeServer("a"), MakeServer("b")});
  EXPECT_TRUE(changes.Since(0).full);
  EXPECT_EQ(changes.Since(0).changed.size(), 2U);
  // A sequence number of an earlier incarnation of this host.
  EXPECT_TRUE(changes.Since(99).full);
}

TEST(ServerChangeLogTest, EqualListsHaveEqualDigestsWhateverTheirHistory) {
  ServerChangeLog one;
  ServerChangeLog other;
  one.Update({MakeServer("a"), MakeServer("b")});
  other.Update({MakeServer("b", 2)});
  EXPECT_NE(one.digest(), other.digest());
  BackendServer warming = MakeServer("b");
  warming.cold_until = Instant{5};
  other.Update({warming, MakeServer("a")});
  EXPECT_EQ(one.digest(), other.digest());
  BackendServer draining = MakeServer("b");
  draining.draining = true;
  other.Update({MakeServer("a"), draining});
  EXPECT_NE(one.digest(), other.digest());
}

TEST(ServerChangeLogTest, AServerThatIsAddedAgainIsNotRemoved) {
  ServerChangeLog changes;
  changes.Update({MakeServer("a")});
  const std::uint64_t known = changes.sequence();
  changes.Update({});
  changes.Update({MakeServer("a")});
  EXPECT_TRUE(changes.Since(known).removed.empty());
  EXPECT_EQ(changes.Since(known).changed.size(), 1U);
}

TEST(ServerChangeLogTest, AReportThatRepeatsTheStateIsNoChange) {
  ServerChangeLog changes;
  BackendServer server = MakeServer("a");
  changes.Update({server});
  const std::uint64_t known = changes.sequence();
  server.report_sequence = 2;
  changes.Update({server, MakeServer("b")});
  EXPECT_EQ(changes.Since(known).changed.size(), 1U);
}

// A follower that applies the deltas since any earlier sequence number has the
// list of the host that it follows.
TEST(ServerChangeLogTest, DeltasGiveTheSameListAsFullLists) {
  rc::check([] {
    ServerChangeLog changes;
    ServerList follower;
    std::uint64_t known = 0;
    Instant now{1};
    const auto steps = *rc::gen::container<std::vector<std::map<int, int>>>(
        rc::gen::container<std::map<int, int>>(rc::gen::inRange(0, 6),
                                               rc::gen::inRange(1, 3)));
    for (const auto& step : steps) {
      std::vector<BackendServer> list;
      for (const auto& [id, slots] : step) {
        const auto letter = static_cast<char>('a' + id);
        list.push_back(MakeServer(std::string(1, letter), slots));
      }
      changes.Update(list);
      if (*rc::gen::inRange(0, 3) == 0) {
        continue;  // The follower misses this change.
      }
      RC_ASSERT(follower.Apply(changes.Since(known), 1, ++now));
      known = changes.sequence();
      RC_ASSERT(follower.servers() == list);
    }
  });
}

}  // namespace
}  // namespace heathersteer
