#include "heathersteer/live_hosts.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

using std::chrono::seconds;
using Fronts = std::vector<std::string>;

TEST(LiveHostsTest, NamesHostsThatWereHeardLately) {
  LiveHosts hosts;
  EXPECT_TRUE(hosts.RecordReport("a:1", true, seconds(1)));
  EXPECT_TRUE(hosts.RecordReport("b:1", true, seconds(2)));
  EXPECT_FALSE(hosts.RecordReport("b:1", true, seconds(3)));
  EXPECT_TRUE(hosts.Expire(seconds(4)));
  EXPECT_EQ(hosts.CallerEndpoints(), Fronts{"b:1"});
}

TEST(LiveHostsTest, DropsAHostThatTakesNoMoreRequestsAtOnce) {
  LiveHosts hosts;
  hosts.RecordReport("a:1", true, seconds(1));
  EXPECT_TRUE(hosts.RecordReport("a:1", false, seconds(1)));
  EXPECT_EQ(hosts.CallerEndpoints(), Fronts{});
}

}  // namespace
}  // namespace heathersteer
