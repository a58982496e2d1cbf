#include "heathersteer/crash_suspect_table.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Instant kStart = seconds(1000);
constexpr std::uint64_t kCulprit = 1;
constexpr std::uint64_t kOther = 2;

class CrashSuspectTableTest : public ::testing::Test {
 protected:
  void Crash(std::uint64_t fingerprint, std::uint64_t first, int count) {
    for (int i = 0; i < count; ++i) {
      now_ += milliseconds(100);
      table_.RecordCrash(fingerprint, first + static_cast<std::uint64_t>(i),
                         now_);
    }
  }

  bool Quarantined(std::uint64_t fingerprint) const {
    return table_.QuarantineLeft(fingerprint, now_) > Duration(0);
  }

  Instant now_ = kStart;
  CrashSuspectTable table_;
};

TEST_F(CrashSuspectTableTest, ARequestThatCrashedThreeServersIsQuarantined) {
  Crash(kCulprit, 10, 2);
  EXPECT_FALSE(Quarantined(kCulprit));
  Crash(kCulprit, 12, 1);
  EXPECT_TRUE(Quarantined(kCulprit));
  EXPECT_FALSE(Quarantined(kOther));
}

TEST_F(CrashSuspectTableTest, OneServerCountsOnceHoweverManyAttemptsItRan) {
  Crash(kCulprit, 10, 1);
  EXPECT_FALSE(table_.RecordCrash(kCulprit, 10, now_ + seconds(1)));
  table_.RecordCrash(kCulprit, 10, now_ + seconds(2));
  EXPECT_FALSE(Quarantined(kCulprit));
}

TEST_F(CrashSuspectTableTest, HostsThatSawOneCrashEachKnowItTogether) {
  CrashSuspectTable second;
  CrashSuspectTable third;
  second.RecordCrash(kCulprit, 11, now_);
  third.RecordCrash(kCulprit, 12, now_);
  Crash(kCulprit, 10, 1);
  EXPECT_TRUE(table_.Merge(second.Since(0), now_));
  EXPECT_TRUE(table_.Merge(third.Since(0), now_));
  EXPECT_TRUE(Quarantined(kCulprit));
  EXPECT_FALSE(table_.Merge(third.Since(0), now_ + seconds(1)));
}

TEST_F(CrashSuspectTableTest,
       ACompletedRequestIsNotSuspectedForEarlierCrashes) {
  Crash(kCulprit, 10, 2);
  EXPECT_TRUE(table_.RecordCompletion(kCulprit, now_));
  Crash(kCulprit, 20, 2);
  EXPECT_FALSE(Quarantined(kCulprit));
  CrashSuspectTable other;
  other.RecordCrash(kCulprit, 30, kStart);
  EXPECT_FALSE(table_.Merge(other.Since(0), now_));
}

TEST_F(CrashSuspectTableTest, ACompletionAtAnotherHostCountsToo) {
  CrashSuspectTable other;
  other.RecordCrash(kCulprit, 10, now_);
  Crash(kCulprit, 10, 3);
  other.RecordCompletion(kCulprit, now_);
  EXPECT_TRUE(table_.Merge(other.Since(0), now_));
  EXPECT_FALSE(Quarantined(kCulprit));
}

TEST_F(CrashSuspectTableTest, WhatRanBesideTheCauseIsNotSuspected) {
  Crash(kOther, 10, 2);
  Crash(kCulprit, 10, 3);
  EXPECT_TRUE(Quarantined(kCulprit));
  Crash(kOther, 10, 3);
  EXPECT_FALSE(Quarantined(kOther));
  Crash(kOther, 20, 2);
  EXPECT_FALSE(Quarantined(kOther));
  Crash(kOther, 22, 1);
  EXPECT_TRUE(Quarantined(kOther));
}

TEST_F(CrashSuspectTableTest, AfterTheQuarantineItIsSentOnceOnTrial) {
  Crash(kCulprit, 10, 3);
  now_ += minutes(5);
  EXPECT_FALSE(Quarantined(kCulprit));
  table_.RecordSend(kCulprit, now_);
  EXPECT_TRUE(Quarantined(kCulprit));
  Crash(kCulprit, 13, 1);
  now_ += minutes(4);
  EXPECT_TRUE(Quarantined(kCulprit));
}

TEST_F(CrashSuspectTableTest, ATrialThatIsCompletedEndsTheSuspicion) {
  Crash(kCulprit, 10, 3);
  now_ += minutes(5);
  table_.RecordSend(kCulprit, now_);
  table_.RecordCompletion(kCulprit, now_ + milliseconds(50));
  EXPECT_FALSE(Quarantined(kCulprit));
}

TEST_F(CrashSuspectTableTest, HoldsABoundedNumberAndKeepsTheQuarantined) {
  Crash(kCulprit, 1, 3);
  for (std::uint64_t i = 0; i < 5000; ++i) {
    Crash(1000 + i, 10000 + i, 1);
  }
  EXPECT_LE(table_.size(), 1024U);
  EXPECT_LE(table_.Since(0).size(), 64U);
  EXPECT_EQ(table_.Since(0).front().fingerprint, kCulprit);
  EXPECT_EQ(table_.QuarantinedCount(kStart + minutes(1)), 1U);
}

TEST_F(CrashSuspectTableTest, SuspectsThatAreDroppedAtOnceAreNoNews) {
  CrashSuspectTable other;
  other.RecordCrash(kOther, 1, now_);
  now_ += seconds(1);
  for (std::uint64_t i = 0; i < 1024; ++i) {
    table_.RecordCrash(1000 + i, 10000 + i, now_);
  }
  const std::uint64_t before = table_.sequence();
  EXPECT_FALSE(table_.Merge(other.Since(0), now_));
  EXPECT_EQ(table_.sequence(), before);
}

TEST_F(CrashSuspectTableTest, OnlyOwnAndFollowersObservationsAreRepeated) {
  CrashSuspectTable other;
  other.RecordCrash(kOther, 1, now_);
  table_.Merge(other.Since(0), now_);
  EXPECT_TRUE(table_.Recent(now_).empty());
  EXPECT_EQ(table_.Since(0).size(), 1U);
  CrashSuspectTable follower;
  follower.RecordCrash(kOther, 2, now_);
  table_.MergeFromFollower(follower.Since(0), now_);
  EXPECT_EQ(table_.Recent(now_).size(), 1U);
}

TEST_F(CrashSuspectTableTest, ChangesAreRepeatedForSomeSeconds) {
  Crash(kCulprit, 1, 1);
  EXPECT_EQ(table_.Recent(now_ + seconds(3)).size(), 1U);
  EXPECT_TRUE(table_.Recent(now_ + seconds(4)).empty());
  EXPECT_EQ(table_.Since(0).size(), 1U);
  EXPECT_TRUE(table_.Since(table_.sequence()).empty());
}

}  // namespace
}  // namespace heathersteer
