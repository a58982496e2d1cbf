#include "heathersteer/route_table.h"

#include <gtest/gtest.h>

#include "heathersteer/traffic_config.h"

namespace heathersteer {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  return route;
}

class RouteTableTest : public ::testing::Test {
 protected:
  RouteTableTest() {
    config_.routes = {MakeRoute("short", "a.example", "/x/"),
                      MakeRoute("long", "a.example", "/x/y/"),
                      MakeRoute("other", "b.example", "/x/")};
  }

  std::string Find(const std::string& host, const std::string& target) const {
    const RouteTable table(config_);
    const Route* route = table.Find(host, target);
    return route == nullptr ? "" : route->name;
  }

  TrafficConfig config_;
};

TEST_F(RouteTableTest, TheLongestPrefixWins) {
  EXPECT_EQ(Find("a.example", "/x/y/1"), "long");
  EXPECT_EQ(Find("a.example", "/x/z"), "short");
  EXPECT_EQ(Find("b.example", "/x/y/1"), "other");
}

TEST_F(RouteTableTest, PrefixesEndAtASlash) {
  EXPECT_EQ(Find("a.example", "/x"), "");
  EXPECT_EQ(Find("a.example", "/xy/"), "");
}

TEST_F(RouteTableTest, HostNamesMatchWithPortAndUpperCase) {
  EXPECT_EQ(Find("A.Example:8080", "/x/1?q=/x/y/"), "short");
  EXPECT_EQ(Find("c.example", "/x/1"), "");
}

}  // namespace
}  // namespace heathersteer
