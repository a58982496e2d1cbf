#include "heathersteer/server_reachability.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heathersteer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ServerReachabilityTest, FailuresAloneDoNotCutOff) {
  ServerReachability reachability;
  reachability.RecordUnreachable("i-1", seconds(10));
  reachability.RecordUnreachable("i-1", seconds(10));
  EXPECT_FALSE(reachability.ShouldTry(seconds(10)));
  reachability.RecordUnreachable("i-2", seconds(10));
  EXPECT_TRUE(reachability.ShouldTry(seconds(10)));
  EXPECT_FALSE(reachability.cut_off());
}

TEST(ServerReachabilityTest, OldFailuresRaiseNoSuspicion) {
  ServerReachability reachability;
  reachability.RecordUnreachable("i-1", seconds(10));
  reachability.RecordUnreachable("i-2", seconds(12));
  EXPECT_FALSE(reachability.ShouldTry(seconds(12)));
}

TEST(ServerReachabilityTest, OneReachableServerEndsTheSuspicion) {
  ServerReachability reachability;
  reachability.RecordUnreachable("i-1", seconds(10));
  reachability.RecordUnreachable("i-2", seconds(10));
  EXPECT_FALSE(reachability.RecordTrials({"i-3"}, true, seconds(10)));
  EXPECT_FALSE(reachability.ShouldTry(seconds(11)));
  EXPECT_TRUE(reachability.unreachable().empty());
}

TEST(ServerReachabilityTest, TrialsGoOnUntilAServerIsReachable) {
  ServerReachability reachability;
  reachability.RecordUnreachable("i-1", seconds(10));
  reachability.RecordUnreachable("i-2", seconds(10));
  EXPECT_FALSE(reachability.RecordTrials({"i-3"}, false, seconds(10)));
  EXPECT_FALSE(reachability.cut_off());
  EXPECT_TRUE(reachability.ShouldTry(seconds(10)));
  EXPECT_TRUE(reachability.RecordTrials({"i-4"}, false, seconds(10)));
  EXPECT_TRUE(reachability.cut_off());
  EXPECT_FALSE(reachability.ShouldTry(seconds(10) + milliseconds(100)));
  EXPECT_TRUE(reachability.ShouldTry(seconds(11)));
  EXPECT_FALSE(reachability.RecordTrials({"i-5"}, false, seconds(11)));
  EXPECT_EQ(reachability.unreachable().size(), 5U);
  EXPECT_TRUE(reachability.RecordTrials({"i-3"}, true, seconds(12)));
  EXPECT_FALSE(reachability.cut_off());
}

TEST(ServerReachabilityTest, SecondRoundAsksMoreServers) {
  ServerReachability reachability;
  reachability.RecordUnreachable("i-1", seconds(10));
  reachability.RecordUnreachable("i-2", seconds(10));
  const std::size_t first = reachability.TrialCount();
  EXPECT_FALSE(reachability.RecordTrials({"i-3"}, false, seconds(10)));
  EXPECT_GT(reachability.TrialCount(), first);
  EXPECT_FALSE(reachability.RecordTrials({"i-4"}, true, seconds(10)));
  EXPECT_FALSE(reachability.ShouldTry(seconds(11)));
  EXPECT_EQ(reachability.TrialCount(), first);
}

}  // namespace
}  // namespace heathersteer
