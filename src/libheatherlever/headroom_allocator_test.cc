#include "heatherlever/headroom_allocator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <vector>

namespace heatherlever {
namespace {

using std::chrono::seconds;
using Limits = std::map<std::string, int>;

constexpr Duration kLimitLifetime = seconds(3);

TEST(HeadroomAllocatorTest, DividesByUnmetDemand) {
  HeadroomAllocator allocator(kLimitLifetime);
  EXPECT_EQ(allocator.Divide(9, {{"a", {0, 0}}, {"b", {0, 7}}}, Instant(0)),
            (Limits{{"a", 1}, {"b", 8}}));
  EXPECT_EQ(
      HeadroomAllocator(kLimitLifetime).Divide(-3, {{"a", {2, 5}}}, Instant(0)),
      (Limits{{"a", 2}}));
}

TEST(HeadroomAllocatorTest, RaisesOnlyWhenOtherLimitsHaveExpired) {
  HeadroomAllocator allocator(kLimitLifetime);
  allocator.Divide(8, {{"a", {0, 0}}, {"b", {0, 0}}}, Instant(0));
  EXPECT_EQ(allocator.Divide(8, {{"a", {0, 7}}, {"b", {0, 0}}}, seconds(1)),
            (Limits{{"a", 4}, {"b", 1}}));
  EXPECT_EQ(allocator.Divide(8, {{"a", {0, 7}}, {"b", {0, 0}}}, seconds(3)),
            (Limits{{"a", 7}, {"b", 1}}));
}

// Senders use any unexpired limit that they were granted, while home traffic
// stays the same. The pool never gets more requests than it has slots.
RC_GTEST_PROP(HeadroomAllocatorTest, LimitsTogetherNeverExceedThePool, ()) {
  const int slots = *rc::gen::inRange(1, 60);
  const auto count = *rc::gen::inRange<std::size_t>(1, 6);
  struct Sender {
    int in_flight = 0;
    std::vector<std::pair<int, Instant>> limits;
  };
  HeadroomAllocator allocator(kLimitLifetime);
  std::map<std::string, Sender> senders;
  for (std::size_t i = 0; i < count; ++i) {
    senders[std::to_string(i)];
  }
  Instant now{0};
  for (int step = 0; step < 120; ++step) {
    now += Duration(*rc::gen::inRange(0, 500'000));
    int total = 0;
    std::map<std::string, SenderUse> uses;
    for (const auto& [name, sender] : senders) {
      total += sender.in_flight;
      uses[name] = {sender.in_flight, *rc::gen::inRange(0, 10)};
    }
    RC_ASSERT(total <= slots);
    for (const auto& [name, limit] :
         allocator.Divide(slots - total, uses, now)) {
      senders[name].limits.emplace_back(limit, now + kLimitLifetime);
    }
    for (auto& [name, sender] : senders) {
      std::erase_if(sender.limits,
                    [&](const auto& limit) { return limit.second <= now; });
      const auto& limit = *rc::gen::elementOf(sender.limits);
      const int available = std::max(0, limit.first - sender.in_flight);
      sender.in_flight += *rc::gen::inRange(0, available + 1);
      sender.in_flight -= *rc::gen::inRange(0, sender.in_flight + 1);
    }
  }
}

}  // namespace
}  // namespace heatherlever
