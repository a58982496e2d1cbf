#include "heathersteer/server_list.h"

#include <gtest/gtest.h>

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

std::size_t Count(const ServerList& list) {
  return list.servers().size();
}

TEST(ServerListTest, AServerThatIsNotListedIsGoneAtOnce) {
  ServerList list;
  list.Update({MakeServer("a"), MakeServer("b")}, kStart);
  EXPECT_TRUE(list.Update({MakeServer("a")}, kStart + seconds(1)));
  EXPECT_EQ(Count(list), 1U);
}

TEST(ServerListTest, AfterAnOutageMissingServersHaveTwoSecondsToReturn) {
  ServerList list;
  list.Update({MakeServer("a"), MakeServer("b")}, kStart);
  const Instant back = kStart + seconds(8);
  list.Update({MakeServer("a")}, back);
  EXPECT_EQ(Count(list), 2U);
  EXPECT_EQ(list.known_at(), kStart);
  EXPECT_EQ(list.reregistration_time_left(back + milliseconds(500)),
            milliseconds(1500));
  list.Update({MakeServer("a")}, back + milliseconds(2005));
  EXPECT_EQ(Count(list), 1U);
  EXPECT_EQ(list.known_at(), back + milliseconds(2005));
}

// A follower is told of a change once: it has to take the list over whole,
// however long ago its last one was.
TEST(ServerListTest, AMirroredListReplacesTheOwnWhole) {
  ServerList list;
  list.Mirror({MakeServer("a"), MakeServer("b")}, kStart);
  EXPECT_TRUE(list.Mirror({MakeServer("a")}, kStart + seconds(30)));
  EXPECT_EQ(Count(list), 1U);
}

// A host that was cut off offers its old list: it must not bring back servers
// that have left meanwhile.
TEST(ServerListTest, AnOlderListIsNotMirrored) {
  ServerList list;
  list.Mirror({MakeServer("a")}, kStart + seconds(5));
  EXPECT_FALSE(list.Mirror({MakeServer("a"), MakeServer("gone")}, kStart));
  EXPECT_EQ(Count(list), 1U);
}

TEST(ServerListTest, TheListOfAReturningHostCountsAsOldUntilItIsWhole) {
  ServerList returning;
  returning.Update({MakeServer("a"), MakeServer("gone")}, kStart);
  returning.Update({MakeServer("a")}, kStart + seconds(12));
  ServerList informed;
  informed.Mirror({MakeServer("a")}, kStart + seconds(11));
  EXPECT_FALSE(informed.Mirror(returning.servers(), returning.known_at()));
}

TEST(ServerListTest, ThePassingOfTheColdTimeIsNoChange) {
  ServerList list;
  BackendServer server = MakeServer("a");
  server.cold_until = kStart + seconds(3);
  list.Update({server}, kStart);
  server.cold_until += milliseconds(40);
  EXPECT_FALSE(list.Update({server}, kStart + seconds(1)));
  server.cold_until += seconds(3);
  EXPECT_TRUE(list.Update({server}, kStart + seconds(2)));
}

}  // namespace
}  // namespace heathersteer
