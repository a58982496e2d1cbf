#include "heatherlever/rendezvous.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace heatherlever {
namespace {

std::vector<Member> RandomMembers() {
  std::vector<Member> members;
  const int count = *rc::gen::inRange(1, 23);
  members.reserve(23);
  for (int i = 0; i < count; ++i) {
    members.push_back({"host-" + std::to_string(i), 1, "r",
                       *rc::gen::element<std::string>("a", "b")});
  }
  return members;
}

// Repeatedly takes the best remaining member by a full scan.
std::vector<Member> NaiveOrder(const std::string& pool,
                               std::vector<Member> members) {
  std::vector<Member> order;
  while (!members.empty()) {
    const Member* best = nullptr;
    for (const Member& member : members) {
      const bool other_domain =
          order.size() == 1 && member.domain != order[0].domain;
      const bool best_other =
          order.size() == 1 && best && best->domain != order[0].domain;
      const bool heavier = !best || RendezvousWeight(pool, member.name) >
                                        RendezvousWeight(pool, best->name);
      if (other_domain != best_other ? other_domain : heavier) {
        best = &member;
      }
    }
    order.push_back(*best);
    members.erase(members.begin() + (best - members.data()));
  }
  return order;
}

RC_GTEST_PROP(RendezvousTest, EqualsNaiveOrder, ()) {
  const auto members = RandomMembers();
  const auto pool = *rc::gen::arbitrary<std::string>();
  RC_ASSERT(OwnerOrder(pool, members) == NaiveOrder(pool, members));
}

RC_GTEST_PROP(RendezvousTest, OrderOfMembersDoesNotMatter, ()) {
  const auto members = RandomMembers();
  auto reversed = members;
  std::reverse(reversed.begin(), reversed.end());
  RC_ASSERT(OwnerOrder("pool", members) == OwnerOrder("pool", reversed));
}

RC_GTEST_PROP(RendezvousTest, OnlyPoolsOfTheRemovedMemberMove, ()) {
  const auto members = RandomMembers();
  RC_PRE(members.size() >= 2);
  const auto removed = *rc::gen::inRange<std::size_t>(0, members.size());
  auto rest = members;
  rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(removed));
  for (int i = 0; i < 20; ++i) {
    const std::string pool = "pool-" + std::to_string(i);
    const auto before = OwnerOrder(pool, members);
    const auto after = OwnerOrder(pool, rest);
    if (before[0] != members[removed]) {
      RC_ASSERT(after[0] == before[0]);
    }
    if (before[0] != members[removed] && before[1] != members[removed]) {
      RC_ASSERT(after[1] == before[1]);
    }
  }
}

RC_GTEST_PROP(RendezvousTest, ShardsAreEvenAndComplete, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 9);
  std::vector<std::string> backends;
  for (int i = *rc::gen::inRange(0, 60); i > 0; --i) {
    backends.push_back("backend-" + std::to_string(i));
  }
  std::set<std::string> seen;
  for (const auto& shard : SplitPool("pool", backends, count)) {
    RC_ASSERT(shard.size() >= backends.size() / count);
    RC_ASSERT(shard.size() <= backends.size() / count + 1);
    seen.insert(shard.begin(), shard.end());
  }
  RC_ASSERT(seen.size() == backends.size());
}

TEST(RendezvousTest, DeputyFallsBackToTheSameDomain) {
  const auto order =
      OwnerOrder("pool", {{"x", 1, "r", "a"}, {"y", 1, "r", "a"}});
  EXPECT_EQ(order.size(), 2U);
  EXPECT_TRUE(OwnerOrder("pool", {}).empty());
}

TEST(RendezvousTest, ARestartKeepsTheOrder) {
  const auto before =
      OwnerOrder("pool", {{"x", 1, "r", "a"}, {"y", 1, "r", "b"}});
  const auto after =
      OwnerOrder("pool", {{"x", 2, "r", "a"}, {"y", 1, "r", "b"}});
  EXPECT_EQ(before[0].name, after[0].name);
}

TEST(RendezvousTest, PoolsSpreadOverMembers) {
  std::vector<Member> members;
  members.reserve(8);
  for (int i = 0; i < 8; ++i) {
    members.push_back({"host-" + std::to_string(i), 1, "r", "a"});
  }
  std::map<std::string, int> owned;
  for (int i = 0; i < 8000; ++i) {
    ++owned[OwnerOrder("pool-" + std::to_string(i), members)[0].name];
  }
  for (const auto& member : members) {
    EXPECT_NEAR(owned[member.name], 1000, 150);
  }
}

TEST(RendezvousTest, ShardsAreCountedAndNamed) {
  EXPECT_EQ(ShardCount(0, 100), 1U);
  EXPECT_EQ(ShardCount(100, 100), 1U);
  EXPECT_EQ(ShardCount(101, 100), 2U);
  EXPECT_EQ(ShardName("pool", 0, 1), "pool");
  EXPECT_EQ(ShardName("pool", 1, 2), "pool#1");
}

}  // namespace
}  // namespace heatherlever
