#include "heathersteer/relay_order.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::seconds;

constexpr Instant kNow = seconds(100);

HostRegistration MakeHost(const std::string& name,
                          std::uint64_t version,
                          const std::string& domain = "north-a") {
  HostRegistration host;
  host.name = name;
  host.domain = domain;
  host.registration_version = {.timeline = 1, .number = version};
  return host;
}

class RelayOrderTest : public ::testing::Test {
 protected:
  RelayOrderTest() : order_(MakeHost("self", 5)) {
    order_.SetHosts({MakeHost("first", 1), MakeHost("second", 2),
                     MakeHost("self", 5), MakeHost("later", 9),
                     MakeHost("elsewhere", 0, "south-a")});
  }

  std::string Chosen(Instant now) const {
    const auto host = order_.Choose(now);
    return host ? host->name : "";
  }

  RelayOrder order_;
};

TEST_F(RelayOrderTest, FollowsTheFirstRegisteredHostOfTheDomain) {
  EXPECT_EQ(Chosen(kNow), "first");
}

TEST_F(RelayOrderTest, ExcludesFailedHostsForSomeSeconds) {
  order_.MarkFailed("first", kNow);
  EXPECT_EQ(Chosen(kNow), "second");
  order_.MarkFailed("second", kNow);
  EXPECT_EQ(Chosen(kNow), "");
  EXPECT_EQ(Chosen(kNow + seconds(10)), "first");
}

// After all hosts have restarted, hosts that know old registrations may follow
// each other in a cycle; a response with the newer version breaks it.
TEST_F(RelayOrderTest, AHostThatRegisteredAgainIsNoLongerFollowed) {
  order_.UpdateRegistration("first", {1, 20});
  EXPECT_EQ(Chosen(kNow), "second");
  order_.UpdateRegistration("second", {1, 21});
  EXPECT_EQ(Chosen(kNow), "");
  EXPECT_TRUE(order_.MayFollow({1, 20}));
  EXPECT_FALSE(order_.MayFollow({1, 4}));
}

TEST_F(RelayOrderTest, AnOlderReadDoesNotReplaceAReportedVersion) {
  order_.UpdateRegistration("first", {1, 20});
  order_.SetHosts({MakeHost("first", 1), MakeHost("second", 2)});
  EXPECT_EQ(Chosen(kNow), "second");
}

}  // namespace
}  // namespace heathersteer
