#include "heathersteer/server_table.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::seconds;

BackendServer MakeServer(std::int64_t started_ms) {
  BackendServer server;
  server.id = "i-1";
  server.service = "proofs";
  server.address = "10.0.0.9";
  server.port = 8080;
  server.started_ms = started_ms;
  return server;
}

class ServerTableTest : public testing::Test {
 protected:
  auto LeavingSince() const { return table_.Find("i-1")->leaving_since; }
  auto BackoffUntil() const { return table_.Find("i-1")->backoff_until; }

  ServerTable table_;
};

TEST_F(ServerTableTest, LeavingHoldsWhileTheListSaysReady) {
  table_.Put(MakeServer(7));
  EXPECT_TRUE(table_.RecordLeaving("i-1", 7, seconds(1)));
  EXPECT_FALSE(table_.RecordLeaving("i-1", 7, seconds(2)));
  table_.Put(MakeServer(7));
  EXPECT_EQ(LeavingSince(), seconds(1));
  EXPECT_EQ(table_.leaving_count(), 1U);
}

TEST_F(ServerTableTest, LeavingEndsWithTheIncarnation) {
  table_.Put(MakeServer(7));
  table_.RecordLeaving("i-1", 7, seconds(1));
  table_.Put(MakeServer(8));
  EXPECT_FALSE(LeavingSince());
  EXPECT_EQ(table_.leaving_count(), 0U);
}

// A list from another host or from a restored store may be older than this
// host's.
TEST_F(ServerTableTest, OlderListDoesNotBringALeavingServerBack) {
  table_.Put(MakeServer(7));
  table_.RecordLeaving("i-1", 7, seconds(1));
  table_.KeepOnly({});
  table_.Put(MakeServer(7));
  EXPECT_EQ(LeavingSince(), seconds(1));
  table_.Put(MakeServer(8));
  table_.Put(MakeServer(7));
  EXPECT_EQ(LeavingSince(), seconds(1));
}

// A response may arrive after the next incarnation was listed, and another host
// may report a server that this one does not list yet.
TEST_F(ServerTableTest, StatementOfAnotherIncarnationDoesNotTouchTheListedOne) {
  table_.Put(MakeServer(8));
  EXPECT_TRUE(table_.RecordLeaving("i-1", 7, seconds(1)));
  EXPECT_FALSE(LeavingSince());
  EXPECT_TRUE(table_.RecordLeaving("i-1", 9, seconds(2)));
  table_.Put(MakeServer(9));
  EXPECT_EQ(LeavingSince(), seconds(2));
}

TEST_F(ServerTableTest, LeavingOfAnUnknownIncarnationEndsWithItsListing) {
  table_.Put(MakeServer(0));
  EXPECT_TRUE(table_.RecordLeaving("i-1", 0, seconds(1)));
  table_.Put(MakeServer(0));
  EXPECT_EQ(LeavingSince(), seconds(1));
  table_.KeepOnly({});
  table_.Put(MakeServer(0));
  EXPECT_FALSE(LeavingSince());
}

TEST_F(ServerTableTest, BackoffOutlastsAListingAndEndsWithTheIncarnation) {
  const std::chrono::duration<double> delay = seconds(2);
  table_.Put(MakeServer(7));
  EXPECT_TRUE(table_.RecordBackoff("i-1", 7, delay, seconds(10)));
  EXPECT_FALSE(table_.RecordBackoff("i-1", 7, delay, seconds(11)));
  EXPECT_EQ(BackoffUntil(), Instant(seconds(13)));
  EXPECT_EQ(table_.backed_off_count(seconds(12)), 1U);
  EXPECT_EQ(table_.backed_off_count(seconds(13)), 0U);
  table_.Put(MakeServer(7));
  EXPECT_EQ(BackoffUntil(), Instant(seconds(13)));
  table_.KeepOnly({});
  table_.Put(MakeServer(7));
  EXPECT_EQ(BackoffUntil(), Instant(seconds(13)));
  table_.Put(MakeServer(8));
  EXPECT_EQ(BackoffUntil(), Instant(0));
  // A late response to the incarnation before.
  EXPECT_FALSE(table_.RecordBackoff("i-1", 7, delay, seconds(14)));
  EXPECT_EQ(BackoffUntil(), Instant(0));
  EXPECT_TRUE(table_.RecordBackoff("i-1", 8, delay, seconds(14)));
}

TEST_F(ServerTableTest, BackoffOfAnUnknownIncarnationEndsWithItsListing) {
  table_.Put(MakeServer(0));
  EXPECT_TRUE(table_.RecordBackoff("i-1", 0, std::chrono::duration<double>(2),
                                   seconds(10)));
  EXPECT_EQ(BackoffUntil(), Instant(seconds(12)));
  table_.KeepOnly({});
  table_.Put(MakeServer(0));
  EXPECT_EQ(BackoffUntil(), Instant(0));
}

}  // namespace
}  // namespace heathersteer
