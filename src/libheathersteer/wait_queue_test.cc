#include "heathersteer/wait_queue.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

TEST(WaitQueueTest, ServesByRankThenByAge) {
  WaitQueue queue;
  const auto low_rank = queue.Add("s", 2);
  const auto older = queue.Add("s", 1);
  const auto newer = queue.Add("s", 1);
  const auto urgent = queue.Add("s", 0);
  queue.Add("other", 0);
  EXPECT_EQ(queue.Next("s", 8),
            (std::vector<std::uint64_t>{urgent, older, newer, low_rank}));
  queue.Remove(urgent);
  EXPECT_EQ(queue.Next("s", 1), (std::vector<std::uint64_t>{older}));
  EXPECT_EQ(queue.size(), 4U);
}

}  // namespace
}  // namespace heathersteer
