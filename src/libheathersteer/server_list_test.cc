#include "heathersteer/server_list.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
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
  for (int second = 2; second <= 12; ++second) {
    list.Update(List({Reported("a", 1, 4)}, 2), kStart + seconds(second));
    EXPECT_EQ(Count(list), 0U);
  }
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

// The store performed a report late, and a server that drained was used again.
TEST(ServerListTest, AnEarlierReportDoesNotReplaceALaterOne) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5, true)}), kStart);
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 2)}), kStart + seconds(1)));
  EXPECT_TRUE(list.servers().front().draining);
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 3)}), kStart + seconds(2)));
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 4)}), kStart + seconds(3)));
  EXPECT_TRUE(list.servers().front().draining);
  EXPECT_EQ(list.servers().front().report_sequence, 5);
}

TEST(ServerListTest, AServerThatDrainedAndIsReadyAgainIsTakenOver) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5, true)}), kStart);
  EXPECT_TRUE(list.Update(List({Reported("a", 7, 6)}), kStart + seconds(1)));
  EXPECT_FALSE(list.servers().front().draining);
}

TEST(ServerListTest, AnEarlierReportDoesNotListAServerThatLeft) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5, true)}), kStart);
  list.Update(List({}), kStart + seconds(1));
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 2)}), kStart + seconds(2)));
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 4)}), kStart + seconds(4)));
  EXPECT_EQ(Count(list), 0U);
}

TEST(ServerListTest, AServerThatAnotherHostListsAgainIsListedAtOnce) {
  ServerList list;
  list.Mirror(List({Reported("a", 7, 5)}), kStart);
  list.Mirror(List({}), kStart + seconds(1));
  list.Mirror(List({Reported("a", 7, 6)}), kStart + seconds(2));
  EXPECT_EQ(Count(list), 1U);
}

TEST(ServerListTest, AStartWhoseCountsBeginAnewIsTakenOverAtOnce) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5, true)}), kStart);
  EXPECT_TRUE(list.Update(List({Reported("a", 8, 1)}), kStart + seconds(1)));
  EXPECT_FALSE(list.servers().front().draining);
  list.Update(List({}), kStart + seconds(2));
  EXPECT_TRUE(list.Update(List({Reported("a", 9, 1)}), kStart + seconds(3)));
  EXPECT_EQ(Count(list), 1U);
}

TEST(ServerListTest, AReportOfTheStartBeforeDoesNotReplaceThatOfTheNext) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5)}), kStart);
  list.Update(List({Reported("a", 8, 1, true)}), kStart + seconds(1));
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 6)}), kStart + seconds(2)));
  list.Update(List({Reported("a", 8, 2, true)}), kStart + seconds(3));
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 7)}), kStart + seconds(4)));
  EXPECT_TRUE(list.servers().front().draining);
  // Nor does it list the server after it left.
  list.Update(List({}), kStart + seconds(5));
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 8)}), kStart + seconds(6)));
  EXPECT_EQ(Count(list), 0U);
}

TEST(ServerListTest, AStartWithAClockBehindThatOfTheLastIsTakenOverAtOnce) {
  for (const bool left : {false, true}) {
    ServerList list;
    list.Update(List({Reported("a", 7, 5, true)}), kStart);
    if (left) {
      list.Update(List({}), kStart + seconds(1));
    }
    ASSERT_TRUE(list.Update(List({Reported("a", 3, 1)}), kStart + seconds(2)));
    EXPECT_EQ(list.servers().front().started_ms, 3);
    EXPECT_EQ(list.servers().front().succeeds_ms, 7);
    // A late report of the start before it has the higher start time.
    EXPECT_FALSE(list.Update(List({Reported("a", 7, 6)}), kStart + seconds(3)));
    EXPECT_TRUE(list.Update(List({Reported("a", 5, 1)}), kStart + seconds(4)));
    EXPECT_EQ(list.servers().front().succeeds_ms, 7);
  }
}

// Where this host has not read the first report, those that go on tell the
// start from a late report.
TEST(ServerListTest, AStartWithAClockBehindIsTakenOverAsItGoesOn) {
  for (const bool left : {false, true}) {
    ServerList list;
    list.Update(List({Reported("a", 7, 5, true)}), kStart);
    if (left) {
      list.Update(List({}), kStart + seconds(1));
    }
    EXPECT_FALSE(list.Update(List({Reported("a", 3, 2)}), kStart + seconds(2)));
    EXPECT_FALSE(list.Update(List({Reported("a", 3, 3)}), kStart + seconds(3)));
    EXPECT_TRUE(list.Update(List({Reported("a", 3, 4)}), kStart + seconds(4)));
    EXPECT_EQ(list.servers().front().started_ms, 3);
  }
}

// Some servers leave without a word, and the store performs their last report
// after the removal of their entry.
TEST(ServerListTest, ALastReportThatComesLateDoesNotListAServerThatLeft) {
  ServerList list;
  list.Update(List({Reported("a", 7, 4)}), kStart);
  list.Update(List({Reported("a", 7, 5)}), kStart + seconds(1));
  list.Update(List({}), kStart + seconds(2));
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 6)}), kStart + seconds(3)));
  EXPECT_FALSE(list.Update(List({Reported("a", 7, 6)}), kStart + seconds(7)));
  EXPECT_EQ(Count(list), 0U);
  // It has not left if it goes on reporting.
  EXPECT_TRUE(list.Update(List({Reported("a", 7, 7)}), kStart + seconds(8)));
  EXPECT_EQ(Count(list), 1U);
}

TEST(ServerListTest, AServerThatWasRemovedForItsSilenceIsListedAtOnce) {
  ServerList list;
  for (int second = 0; second <= 4; ++second) {
    list.Update(List({Reported("a", 7, 5)}), kStart + seconds(second));
  }
  list.Update(List({}), kStart + seconds(5));
  EXPECT_EQ(Count(list), 0U);
  EXPECT_TRUE(list.Update(List({Reported("a", 7, 6)}), kStart + seconds(6)));
}

// An entry without a start time is another writer's, and brought a server back
// that had left.
TEST(ServerListTest, AnEntryWithoutAStartTimeAmongOthersIsIgnored) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5), Reported("b", 7, 5)}), kStart);
  list.Update(List({Reported("b", 7, 5)}), kStart + seconds(1));
  for (int second = 2; second < 20; ++second) {
    list.Update(List({Reported("a", 0, second), Reported("b", 7, 5 + second),
                      Reported("c", 0, 1)}),
                kStart + seconds(second));
    EXPECT_EQ(Count(list), 1U);
    EXPECT_EQ(list.ignored_reports(), (std::set<std::string>{"a", "c"}));
  }
  list.Update(List({Reported("b", 7, 30)}), kStart + seconds(20));
  EXPECT_TRUE(list.ignored_reports().empty());
}

// One entry of another writer does not make the others' invalid.
TEST(ServerListTest, ServersOfAPlatformWithoutStartTimesAreListed) {
  ServerList list;
  list.Update(List({Reported("a", 0, 5), Reported("b", 0, 5)}), kStart);
  EXPECT_EQ(Count(list), 2U);
  for (int second = 1; second < 20; ++second) {
    list.Update(
        List({Reported("a", 0, 5), Reported("b", 0, 5), Reported("c", 7, 1)}),
        kStart + seconds(second));
    EXPECT_EQ(Count(list), 3U);
  }
}

// Such an entry may be the only one that is left.
TEST(ServerListTest, AnEntryWithoutAStartTimeListsNoServerThatStatedOne) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5)}), kStart);
  list.Update(List({}), kStart + seconds(1));
  for (int second = 2; second < 20; ++second) {
    list.Update(List({Reported("a", 0, second)}), kStart + seconds(second));
    EXPECT_EQ(Count(list), 0U);
  }
}

// What stands in a server's place says nothing of its leaving.
TEST(ServerListTest, AServerWhoseEntryAnotherWriterReplacedIsListedAtOnce) {
  for (const bool readable : {false, true}) {
    ServerList list;
    list.Update(List({Reported("a", 7, 5), Reported("b", 7, 5)}), kStart);
    auto replaced = List({Reported("b", 7, 6)});
    if (readable) {
      replaced.entries.push_back(Reported("a", 0, 0));
    } else {
      replaced.unusable = {"a"};
    }
    list.Update(replaced, kStart + seconds(1));
    EXPECT_EQ(Count(list), 1U);
    list.Update(List({Reported("a", 7, 6), Reported("b", 7, 7)}),
                kStart + seconds(2));
    EXPECT_EQ(Count(list), 2U);
  }
}

TEST(ServerListTest, AServerThatARestoreHasLostIsListedWithItsNextReport) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5)}), kStart);
  for (const int ms : {500, 1400, 2300, 2600}) {
    list.Update(List({}, 2), kStart + milliseconds(ms));
  }
  EXPECT_EQ(Count(list), 0U);
  EXPECT_TRUE(list.Update(List({Reported("a", 7, 6)}, 2), kStart + seconds(3)));
}

// During an outage nobody removes the entries of silent servers.
TEST(ServerListTest, ALateReportIsNotTakenOverForTheTimeOfAnOutage) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5, true)}), kStart);
  list.Update(List({Reported("a", 7, 2)}), kStart + seconds(1));
  list.Update(List({Reported("a", 7, 2)}), kStart + seconds(15));
  list.Update(List({Reported("a", 7, 2)}), kStart + seconds(16));
  EXPECT_TRUE(list.servers().front().draining);
}

TEST(ServerListTest, IgnoredReportsAreNamed) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5, true)}), kStart);
  list.Update(List({Reported("a", 7, 2)}), kStart + seconds(1));
  EXPECT_EQ(list.ignored_reports(), std::set<std::string>{"a"});
  list.Update(List({Reported("a", 7, 6)}), kStart + seconds(2));
  EXPECT_TRUE(list.ignored_reports().empty());
}

// It may be that of a new start, which more requests would end.
TEST(ServerListTest, AServerCountsAsColdWhileAnotherStartMayFollowIt) {
  ServerList list;
  list.Update(List({Reported("a", 7, 5)}), kStart);
  BackendServer started = Reported("a", 3, 2);
  started.cold_until = kStart + seconds(4);
  EXPECT_TRUE(list.Update(List({started}), kStart + seconds(1)));
  EXPECT_EQ(list.servers().front().cold_until, kStart + seconds(4));
  EXPECT_EQ(list.servers().front().started_ms, 7);
}

TEST(ServerListTest, CountsOfAServerWithoutAStartTimeMayBeginAnew) {
  ServerList list;
  list.Update(List({Reported("a", 0, 5, true)}), kStart);
  for (int sequence = 1; sequence <= 3; ++sequence) {
    EXPECT_TRUE(list.servers().front().draining);
    list.Update(List({Reported("a", 0, sequence)}), kStart + seconds(sequence));
  }
  EXPECT_FALSE(list.servers().front().draining);
}

// The host that this one follows may not know the report that came before.
TEST(ServerListTest, AnEarlierReportFromAnotherHostDoesNotReplaceALaterOne) {
  ServerList list;
  list.Mirror(List({Reported("a", 7, 5, true)}), kStart);
  list.Apply({.full = false, .changed = {Reported("a", 7, 2)}, .removed = {}},
             1, kStart + seconds(1));
  EXPECT_TRUE(list.servers().front().draining);
  list.Mirror(List({Reported("a", 7, 2)}), kStart + seconds(2));
  EXPECT_TRUE(list.servers().front().draining);
}

// A follower gets a change once, and no report that changes nothing.
TEST(ServerListTest, AnEarlierReportThatStaysInAnotherHostsListIsTakenOver) {
  ServerList list;
  list.Mirror(List({Reported("a", 7, 5, true)}), kStart);
  list.Apply({.full = false, .changed = {Reported("a", 3, 2)}, .removed = {}},
             1, kStart + seconds(1));
  for (int second = 2; second <= 11; ++second) {
    EXPECT_FALSE(list.Confirm(kStart + seconds(second)));
  }
  EXPECT_TRUE(list.Confirm(kStart + milliseconds(11001)));
  EXPECT_EQ(list.servers().front().started_ms, 3);
}

TEST(ServerListTest, AStartThatAnotherHostFoundToSucceedIsTakenOverAtOnce) {
  ServerList list;
  list.Mirror(List({Reported("a", 7, 5, true)}), kStart);
  BackendServer started = Reported("a", 3, 3);
  started.succeeds_ms = 7;
  list.Apply({.full = false, .changed = {started}, .removed = {}}, 1,
             kStart + seconds(1));
  EXPECT_EQ(list.servers().front().started_ms, 3);
  EXPECT_EQ(list.servers().front().succeeds_ms, 7);
}

TEST(ServerListTest, ALateReportThatIsRemovedIsNotTakenOverLater) {
  ServerList list;
  list.Mirror(List({Reported("a", 7, 5, true)}), kStart);
  list.Apply({.full = false, .changed = {}, .removed = {"a"}}, 1,
             kStart + seconds(1));
  list.Apply({.full = false, .changed = {Reported("a", 7, 2)}, .removed = {}},
             1, kStart + seconds(2));
  list.Apply({.full = false, .changed = {}, .removed = {"a"}}, 1,
             kStart + seconds(3));
  for (int second = 4; second <= 20; ++second) {
    EXPECT_FALSE(list.Confirm(kStart + seconds(second)));
  }
  EXPECT_EQ(Count(list), 0U);
}

}  // namespace
}  // namespace heathersteer
