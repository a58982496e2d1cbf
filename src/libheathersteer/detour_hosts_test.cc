#include "heathersteer/detour_hosts.h"

#include <gtest/gtest.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow = seconds(10);

HostRegistration Host(const std::string& name,
                      const std::string& region,
                      const std::string& domain) {
  HostRegistration host;
  host.name = name;
  host.region = region;
  host.domain = domain;
  host.caller_endpoint = name + ":80";
  return host;
}

class DetourHostsTest : public ::testing::Test {
 protected:
  DetourHostsTest() {
    const HostRegistration self = Host("self", "n", "n-a");
    hosts_.SetHosts(
        self, {self, Host("near-1", "n", "n-a"), Host("near-2", "n", "n-a"),
               Host("mid", "n", "n-b"), Host("far", "s", "s-a")});
  }

  std::string Choose(const std::vector<std::string>& regions = {},
                     const std::vector<std::string>& tried = {},
                     Instant now = kNow) {
    const HostRegistration* host = hosts_.Choose(regions, tried, now);
    return host == nullptr ? "" : host->name;
  }

  DetourHosts hosts_;
};

TEST_F(DetourHostsTest, TakesTurnsInTheOwnDomain) {
  EXPECT_EQ((std::set<std::string>{Choose(), Choose()}),
            (std::set<std::string>{"near-1", "near-2"}));
}

TEST_F(DetourHostsTest, OtherDomainsGoFirstAfterAnUnavailableHost) {
  hosts_.RecordUnavailable("near-1", kNow);
  EXPECT_EQ(Choose(), "mid");
  hosts_.RecordUnavailable("mid", kNow);
  EXPECT_EQ(Choose(), "far");
  hosts_.RecordUnavailable("far", kNow);
  EXPECT_EQ(Choose(), "near-2");
  EXPECT_EQ(Choose({}, {"near-2"}), "");
  EXPECT_EQ(Choose({}, {"near-2"}, kNow + seconds(2)), "near-1");
}

TEST_F(DetourHostsTest, HandledRequestEndsTheAvoidanceOfAGroup) {
  hosts_.RecordUnavailable("near-1", kNow);
  hosts_.RecordHandled("near-2", kNow);
  EXPECT_EQ(Choose(), "near-2");
}

TEST_F(DetourHostsTest, OnlyHostsInTheGivenRegionsAreChosen) {
  EXPECT_EQ(Choose({"s"}), "far");
  EXPECT_EQ(Choose({"w"}), "");
}

TEST_F(DetourHostsTest, EndpointsAreThoseThatHandledRequestsLately) {
  EXPECT_TRUE(hosts_.CallerEndpoints(kNow).empty());
  hosts_.RecordHandled("far", kNow);
  hosts_.RecordHandled("mid", kNow);
  hosts_.RecordUnavailable("mid", kNow);
  EXPECT_EQ(hosts_.CallerEndpoints(kNow + milliseconds(500)),
            std::vector<std::string>{"far:80"});
  EXPECT_TRUE(hosts_.CallerEndpoints(kNow + seconds(5)).empty());
}

TEST_F(DetourHostsTest, StateOutlivesAReadOfTheRegistrations) {
  hosts_.RecordHandled("far", kNow);
  hosts_.SetHosts(Host("self", "n", "n-a"), {Host("far", "s", "s-a")});
  EXPECT_EQ(hosts_.CallerEndpoints(kNow), std::vector<std::string>{"far:80"});
}

}  // namespace
}  // namespace heathersteer
