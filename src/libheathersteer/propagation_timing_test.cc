#include "heathersteer/propagation_timing.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time in which a host sees that its reader gives no answer, beyond the hold.
constexpr Duration kResponseSlack = milliseconds(300);

TEST(NewsPaceTest, ALostReaderIsReplacedWithinTheBound) {
  for (const Duration bound :
       {Duration(seconds(1)), Duration(milliseconds(1500)),
        Duration(seconds(2)), Duration(seconds(5))}) {
    const PropagationTiming pace = PropagationTiming::Within(bound);
    EXPECT_LT(pace.read_interval, pace.long_poll_timeout);
    EXPECT_LT(pace.long_poll_timeout, pace.stale_after);
    EXPECT_LE(pace.stale_after + kResponseSlack, bound);
  }
}

TEST(NewsPaceTest, AWideBoundDoesNotSlowTheNewsDown) {
  EXPECT_EQ(PropagationTiming::Within(seconds(9)).long_poll_timeout,
            PropagationTiming::Within(seconds(2)).long_poll_timeout);
}

}  // namespace
}  // namespace heathersteer
