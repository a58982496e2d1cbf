#include "heatherlever/cap_change.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherlever {
namespace {

const std::set<std::string> kHosts = {"a", "b", "c"};

double CapOf(const Caps& caps, const std::string& rule) {
  const auto found = caps.find(rule);
  return found == caps.end() ? 0 : found->second;
}

TEST(CapChangeTest, LowersAtOnceAndRaisesAfterEveryAcknowledgement) {
  CapChange change({{"x", 0.5}, {"y", 0.1}, {"gone", 0.3}},
                   {{"x", 0.2}, {"y", 0.4}, {"new", 0.6}}, kHosts);
  const Caps lower = {{"x", 0.2}, {"y", 0.1}, {"gone", 0}, {"new", 0}};
  EXPECT_EQ(change.caps(), lower);
  change.Acknowledge("a");
  change.Acknowledge("a");
  change.Acknowledge("stranger");
  EXPECT_EQ(change.caps(), lower);
  change.Remove("b");
  EXPECT_EQ(change.waiting(), std::set<std::string>{"c"});
  change.Acknowledge("c");
  EXPECT_EQ(change.caps(), (Caps{{"x", 0.2}, {"y", 0.4}, {"new", 0.6}}));
}

// Hosts that still use the old caps meet hosts that already use what the
// change has in force: no cap is above the higher of the plans, and a raised
// cap is never used beside an old, higher cap of another rule.
RC_GTEST_PROP(CapChangeTest, TheSumOfCapsNeverExceedsBothPlans, ()) {
  const std::vector<std::string> rules = {"x", "y", "z"};
  Caps before;
  Caps after;
  double before_sum = 0;
  double after_sum = 0;
  for (const auto& rule : rules) {
    before_sum += before[rule] = *rc::gen::inRange(0, 100);
    after_sum += after[rule] = *rc::gen::inRange(0, 100);
  }
  CapChange change(before, after, kHosts);
  std::map<std::string, Caps> used;
  for (const auto& host : kHosts) {
    used[host] = before;
  }
  for (int i = 0; i < 20; ++i) {
    const auto host = *rc::gen::elementOf(kHosts);
    used[host] = change.caps();
    change.Acknowledge(host);
    // The widest use of each cap by any host at this time.
    double sum = 0;
    for (const auto& rule : rules) {
      double widest = 0;
      for (const auto& [name, caps] : used) {
        widest = std::max(widest, CapOf(caps, rule));
      }
      sum += widest;
    }
    RC_ASSERT(sum <= std::max(before_sum, after_sum));
  }
}

}  // namespace
}  // namespace heatherlever
