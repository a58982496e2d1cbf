#include "fair_queue.h"

#include <gtest/gtest.h>

namespace heatherlever {
namespace {

TEST(FairQueueTest, ServesCallersInTurn) {
  FairQueue queue;
  for (JobId job = 1; job <= 3; ++job) {
    queue.Push("many", job);
  }
  queue.Push("few", 4);
  EXPECT_EQ(queue.Pop(false), 1U);
  EXPECT_EQ(queue.Pop(false), 4U);
  EXPECT_EQ(queue.Pop(false), 2U);
  EXPECT_EQ(queue.Pop(false), 3U);
  EXPECT_EQ(queue.Pop(false), std::nullopt);
}

TEST(FairQueueTest, ReturningCallerGetsNoSecondTurn) {
  FairQueue queue;
  queue.Push("a", 1);
  queue.Push("b", 2);
  EXPECT_EQ(queue.Pop(false), 1U);
  queue.Push("a", 3);
  EXPECT_EQ(queue.Pop(false), 2U);
  EXPECT_EQ(queue.Pop(false), 3U);
}

TEST(FairQueueTest, NewestFirstAppliesWithinTheCaller) {
  FairQueue queue;
  queue.Push("a", 1);
  queue.Push("a", 2);
  queue.Push("b", 3);
  EXPECT_EQ(queue.Newest(), 3U);
  EXPECT_EQ(queue.Pop(true), 2U);
}

TEST(FairQueueTest, RemovesAJob) {
  FairQueue queue;
  queue.Push("a", 1);
  EXPECT_FALSE(queue.Remove("a", 2));
  EXPECT_TRUE(queue.Remove("a", 1));
  EXPECT_EQ(queue.size(), 0U);
  EXPECT_EQ(queue.caller_count(), 0U);
}

}  // namespace
}  // namespace heatherlever
