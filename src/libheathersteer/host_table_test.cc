#include "heathersteer/host_table.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::seconds;

constexpr Instant kStart = seconds(100);

HostRegistration MakeHost(const std::string& name,
                          const StoreVersion& version) {
  HostRegistration host;
  host.name = name;
  host.registration_version = version;
  return host;
}

TEST(HostTableTest, AHostThatTheStoreLostStaysUntilItHadTimeToRegister) {
  HostTable table;
  table.Update({1, {MakeHost("a", {1, 5}), MakeHost("b", {1, 9})}}, kStart);
  const Listing<HostRegistration> copy{2, {MakeHost("a", {2, 5})}};
  table.Update(copy, kStart);
  EXPECT_EQ(table.hosts().size(), 2U);
  table.Update(copy, kStart + seconds(3));
  EXPECT_EQ(table.hosts().size(), 2U);
  table.Update(copy, kStart + seconds(4));
  EXPECT_EQ(table.hosts().size(), 1U);
}

TEST(HostTableTest, AHostThatLeavesWithinATimelineIsRemovedAtOnce) {
  HostTable table;
  table.Update({1, {MakeHost("a", {1, 5}), MakeHost("b", {1, 9})}}, kStart);
  table.Update({1, {MakeHost("a", {1, 5})}}, kStart);
  EXPECT_EQ(table.hosts().size(), 1U);
}

TEST(HostTableTest, ARegistrationAtANumberThatIsGivenOutAgainIsLater) {
  HostTable table;
  table.Update({1, {MakeHost("a", {1, 5}), MakeHost("b", {1, 9})}}, kStart);
  table.Update({2, {MakeHost("a", {2, 5}), MakeHost("c", {2, 8})}}, kStart);
  std::map<std::string, StoreVersion> versions;
  for (const HostRegistration& host : table.hosts()) {
    versions[host.name] = host.registration_version;
  }
  EXPECT_LT(versions["a"], versions["b"]);
  EXPECT_LT(versions["b"], versions["c"]);
}

TEST(HostTableTest, OnlyARegistrationThatTheStoreNoLongerHasIsLost) {
  HostTable table;
  table.Update({2, {MakeHost("a", {2, 5}), MakeHost("b", {2, 4})}}, kStart);
  EXPECT_FALSE(table.IsLost("a", {1, 5}));
  EXPECT_TRUE(table.IsLost("b", {1, 9}));
  EXPECT_TRUE(table.IsLost("c", {1, 9}));
  // Registered after the table was read.
  EXPECT_FALSE(table.IsLost("c", {2, 9}));
}

}  // namespace
}  // namespace heathersteer
