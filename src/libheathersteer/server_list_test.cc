#include "heathersteer/server_list.h"

#include <gtest/gtest.h>

#include <utility>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = seconds(100);

BackendServer MakeServer(const std::string& id) {
  BackendServer server;
  server.id = id;
  return server;
}

Listing<BackendServer> List(std::vector<BackendServer> servers,
                            std::uint64_t timeline = 1) {
  return {timeline, std::move(servers)};
}

BackendServer Reported(const std::string& id,
                       std::int64_t started_ms,
                       std::int64_t sequence,
                       bool draining = false) {
  BackendServer server = MakeServer(id);
  server.started_ms = started_ms;
  server.report_sequence = sequence;
  server.draining = draining;
  return server;
}

std::size_t Count(const ServerList& list) {
  return list.servers().size();
}

TEST(ServerListTest, AMissingServerIsRemovedAtOnce) {
  ServerList list;
  list.Update(List({MakeServer("a"), MakeServer("b")}), kStart);
  EXPECT_TRUE(list.Update(List({MakeServer("a")}), kStart + seconds(1)));
  EXPECT_EQ(Count(list), 1U);
}

TEST(ServerListTest, AfterAnOutageMissingServersStayForTwoSeconds) {
  ServerList list;
  list.Update(List({MakeServer("a"), MakeServer("b")}), kStart);
  const Instant recovery = kStart + seconds(8);
  list.Update(List({MakeServer("a")}), recovery);
  EXPECT_EQ(Count(list), 2U);
  EXPECT_EQ(list.known_at(), kStart);
  EXPECT_EQ(list.reregistration_time_left(recovery + milliseconds(500)),
            milliseconds(1500));
  list.Update(List({MakeServer("a")}), recovery + milliseconds(2005));
  EXPECT_EQ(Count(list), 1U);
  EXPECT_EQ(list.known_at(), recovery + milliseconds(2005));
}

// A follower gets each change once: it has to take over the full list, however
// long ago it got the last one.
TEST(ServerListTest, AMirroredListReplacesTheLocalListCompletely) {
  ServerList list;
  list.Mirror(List({MakeServer("a"), MakeServer("b")}), kStart);
  EXPECT_TRUE(list.Mirror(List({MakeServer("a")}), kStart + seconds(30)));
  EXPECT_EQ(Count(list), 1U);
}

// A host that was disconnected offers its stale list: this must not restore
// servers that were removed meanwhile.
TEST(ServerListTest, AnOlderListIsNotMirrored) {
  ServerList list;
  list.Mirror(List({MakeServer("a")}), kStart + seconds(5));
  EXPECT_FALSE(
      list.Mirror(List({MakeServer("a"), MakeServer("gone")}), kStart));
  EXPECT_EQ(Count(list), 1U);
}

TEST(ServerListTest, TheListOfARecoveringHostIsStaleUntilItIsComplete) {
  ServerList recovering;
  recovering.Update(List({MakeServer("a"), MakeServer("gone")}), kStart);
  recovering.Update(List({MakeServer("a")}), kStart + seconds(12));
  ServerList current;
  current.Mirror(List({MakeServer("a")}), kStart + seconds(11));
  EXPECT_FALSE(
      current.Mirror(List(recovering.servers()), recovering.known_at()));
}

TEST(ServerListTest, ASmallDifferenceInTheColdTimeIsNoChange) {
  ServerList list;
  BackendServer server = MakeServer("a");
  server.cold_until = kStart + seconds(3);
  list.Update(List({server}), kStart);
  server.cold_until += milliseconds(40);
  EXPECT_FALSE(list.Update(List({server}), kStart + seconds(1)));
  server.cold_until += seconds(3);
  EXPECT_TRUE(list.Update(List({server}), kStart + seconds(2)));
}

TEST(ServerListTest, AReportOfAnOlderCopyDoesNotReplaceANewerOne) {
  ServerList list;
  list.Update(List({Reported("a", 1, 4, true)}), kStart);
  EXPECT_FALSE(
      list.Update(List({Reported("a", 1, 3)}, 2), kStart + seconds(1)));
  EXPECT_FALSE(
      list.Update(List({Reported("a", 1, 3)}, 2), kStart + seconds(2)));
  EXPECT_TRUE(list.servers().front().draining);
  EXPECT_TRUE(list.Update(List({Reported("a", 1, 5)}, 2), kStart + seconds(3)));
  EXPECT_FALSE(list.servers().front().draining);
}

TEST(ServerListTest, AServerThatLeftIsNotListedAgainByAnOlderCopy) {
  ServerList list;
  list.Update(List({Reported("a", 1, 4), Reported("b", 1, 1)}), kStart);
  list.Update(List({Reported("b", 1, 1)}), kStart + seconds(1));
  const auto copy = List({Reported("a", 1, 4), Reported("b", 1, 1)}, 2);
  list.Update(copy, kStart + seconds(2));
  list.Update(copy, kStart + seconds(5));
  EXPECT_EQ(Count(list), 1U);
  // A later incarnation is another server.
  list.Update(List({Reported("a", 2, 0), Reported("b", 1, 1)}, 2),
              kStart + seconds(6));
  EXPECT_EQ(Count(list), 2U);
}

TEST(ServerListTest, AServerThatReportsAgainAfterARestoreIsListed) {
  ServerList list;
  list.Update(List({Reported("a", 1, 4)}), kStart);
  list.Update(List({}), kStart + seconds(1));
  list.Update(List({Reported("a", 1, 3)}, 2), kStart + seconds(2));
  EXPECT_EQ(Count(list), 0U);
  list.Update(List({Reported("a", 1, 5)}, 2), kStart + seconds(3));
  EXPECT_EQ(Count(list), 1U);
}

// The platform removes the entries of silent servers, so one that stays runs.
TEST(ServerListTest, AServerThatStaysInTheOlderCopyIsListedAfterTenSeconds) {
  ServerList list;
  list.Update(List({Reported("a", 1, 4)}), kStart);
  list.Update(List({}), kStart + seconds(1));
  list.Update(List({Reported("a", 1, 4)}, 2), kStart + seconds(2));
  list.Update(List({Reported("a", 1, 4)}, 2), kStart + seconds(12));
  EXPECT_EQ(Count(list), 0U);
  list.Update(List({Reported("a", 1, 4)}, 2), kStart + milliseconds(12001));
  EXPECT_EQ(Count(list), 1U);
}

TEST(ServerListTest, AServerThatTheStoreLostStaysUntilItRegistersAgain) {
  ServerList list;
  list.Update(List({MakeServer("a"), MakeServer("b")}), kStart);
  list.Update(List({MakeServer("a")}, 2), kStart + seconds(1));
  EXPECT_EQ(Count(list), 2U);
  list.Update(List({MakeServer("a")}, 2), kStart + milliseconds(3001));
  EXPECT_EQ(Count(list), 1U);
}

TEST(ServerListTest, AListOfAnEarlierTimelineIsNeitherReadNorMirrored) {
  ServerList list;
  list.Update(List({MakeServer("a")}, 2), kStart);
  EXPECT_FALSE(list.Update(List({MakeServer("b")}), kStart + seconds(1)));
  EXPECT_FALSE(list.Mirror(List({MakeServer("b")}), kStart + seconds(1)));
  EXPECT_EQ(list.servers().front().id, "a");
}

// The host that is followed may have started after the restore.
TEST(ServerListTest, AServerThatLeftIsNotListedAgainByAnotherHost) {
  ServerList list;
  list.Mirror(List({Reported("a", 1, 4)}), kStart);
  list.Apply({.full = false, .changed = {}, .removed = {"a"}}, 1,
             kStart + seconds(1));
  list.Mirror(List({Reported("a", 1, 4)}, 2), kStart + seconds(2));
  EXPECT_EQ(Count(list), 0U);
}

}  // namespace
}  // namespace heathersteer
