#include "heathersteer/wait_queue.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

TEST(WaitQueueTest, ServesByRankThenByAge) {
  WaitQueue queue;
  const auto low_rank = queue.Add("s", 2);
  const auto old = queue.Add("s", 1);
  const auto young = queue.Add("s", 1);
  const auto urgent = queue.Add("s", 0);
  queue.Add("other", 0);
  EXPECT_EQ(queue.Next("s", 8),
            (std::vector<std::uint64_t>{urgent, old, young, low_rank}));
  queue.Remove(urgent);
  EXPECT_EQ(queue.Next("s", 1), (std::vector<std::uint64_t>{old}));
  EXPECT_EQ(queue.size(), 4U);
}

}  // namespace
}  // namespace heathersteer
