#include "heathernet/event_loop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <ctime>
#include <thread>
#include <vector>

namespace heathernet {
namespace {

using heatherlever::Duration;

TEST(EventLoopTest, RunsPostedFunctionsInOrder) {
  EventLoop loop;
  std::vector<int> order;
  loop.Post([&] { order.push_back(1); });
  loop.Post([&] {
    order.push_back(2);
    loop.Stop();
  });
  loop.Run();
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

TEST(EventLoopTest, TakesPostsFromOtherThreads) {
  EventLoop loop;
  std::thread::id runner;
  std::thread poster([&] {
    loop.Post([&] {
      runner = std::this_thread::get_id();
      loop.Stop();
    });
  });
  loop.Run();
  poster.join();
  EXPECT_EQ(runner, std::this_thread::get_id());
}

TEST(EventLoopTest, StopBeforeRunIsKept) {
  EventLoop loop;
  loop.Stop();
  loop.Run();
}

// Times of other hosts' events, which are received as ages, may be before the
// boot of this host's machine.
TEST(EventLoopTest, InstantZeroIsLongBeforeTheBoot) {
  timespec since_boot{};
  ASSERT_EQ(clock_gettime(CLOCK_BOOTTIME, &since_boot), 0);
  const heatherlever::Instant boot =
      EventLoop::Now() - std::chrono::seconds(since_boot.tv_sec);
  EXPECT_GE(boot, std::chrono::hours(1));
}

TEST(EventLoopTest, TimersFireInOrderAndNotEarly) {
  EventLoop loop;
  const heatherlever::Instant start = EventLoop::Now();
  heatherlever::Instant fired{};
  std::vector<int> order;
  loop.After(Duration(2000), [&] {
    order.push_back(2);
    fired = EventLoop::Now();
    loop.Stop();
  });
  loop.After(Duration(1000), [&] { order.push_back(1); });
  loop.Run();
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
  EXPECT_GE(fired - start, Duration(2000));
}

TEST(EventLoopTest, CancelledTimerNeverRuns) {
  EventLoop loop;
  bool ran = false;
  TimerHandle timer = loop.After(Duration(0), [&] { ran = true; });
  EXPECT_TRUE(timer.pending());
  timer.Cancel();
  EXPECT_FALSE(timer.pending());
  loop.After(Duration(1000), [&] { loop.Stop(); });
  loop.Run();
  EXPECT_FALSE(ran);
}

TEST(EventLoopTest, TimerHandleMayOutliveTheLoop) {
  TimerHandle timer;
  {
    EventLoop loop;
    timer = loop.After(Duration(1000), [] {});
  }
  timer.Cancel();
  EXPECT_FALSE(timer.pending());
}

}  // namespace
}  // namespace heathernet
