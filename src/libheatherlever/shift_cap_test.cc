#include "heatherlever/shift_cap.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace heatherlever {
namespace {

constexpr Duration kWindow = std::chrono::seconds(10);

struct Counts {
  std::int64_t moved = 0;
  std::int64_t total = 0;
};

// A share as whole percent, so that the expected bound is exact.
bool Holds(const Counts& counts, int percent) {
  return counts.moved * 100 <= counts.total * percent;
}

RC_GTEST_PROP(ShiftCapTest, HoldsAtEveryPrefixOfEveryWindowAndHost, ()) {
  const int percent = *rc::gen::inRange(0, 101);
  const auto hosts = *rc::gen::inRange<std::size_t>(1, 23);
  std::vector<ShiftCap> caps(hosts, ShiftCap(percent / 100.0, kWindow));
  std::vector<Counts> windows(hosts);
  std::vector<std::int64_t> window_of(hosts, 0);
  Counts all;
  Instant now{0};
  for (int i = 0; i < 400; ++i) {
    now += Duration(*rc::gen::inRange(0, 200'000));
    const auto host = *rc::gen::inRange<std::size_t>(0, hosts);
    if (const auto window = now / kWindow; window != window_of[host]) {
      window_of[host] = window;
      windows[host] = {};
    }
    const bool wants = *rc::gen::inRange(0, 4) != 0;
    const bool moved = wants && caps[host].TryMove(now);
    if (!moved) {
      caps[host].CountUnmoved(now);
    }
    windows[host].moved += moved;
    windows[host].total += 1;
    all.moved += moved;
    all.total += 1;
    RC_ASSERT(Holds(windows[host], percent));
    RC_ASSERT(Holds(all, percent));
    // Nothing is withheld that the cap allows.
    if (wants && !moved) {
      RC_ASSERT(
          !Holds({windows[host].moved + 1, windows[host].total}, percent));
    }
  }
}

RC_GTEST_PROP(ShiftCapTest, AChangedShareHoldsFromTheChangeOn, ()) {
  ShiftCap cap(0.9, kWindow);
  for (int i = 0; i < 50; ++i) {
    if (!cap.TryMove(Instant(i))) {
      cap.CountUnmoved(Instant(i));
    }
  }
  const int percent = *rc::gen::inRange(0, 101);
  cap.ChangeShare(percent / 100.0, Instant(100));
  Counts counts;
  for (int i = 0; i < 50; ++i) {
    const bool moved = cap.TryMove(Instant(100 + i));
    if (!moved) {
      cap.CountUnmoved(Instant(100 + i));
    }
    counts.moved += moved;
    counts.total += 1;
    RC_ASSERT(Holds(counts, percent));
  }
}

TEST(ShiftCapTest, ExtremesMoveNothingAndEverything) {
  ShiftCap none(0, kWindow);
  ShiftCap all(1, kWindow);
  EXPECT_FALSE(none.TryMove(Instant(0)));
  EXPECT_TRUE(all.TryMove(Instant(0)));
  EXPECT_TRUE(all.TryMove(Instant(0)));
  EXPECT_EQ(ShiftCap(7, kWindow).share(), 1);
}

TEST(ShiftCapTest, SharesThatBinaryFractionsMissAreExact) {
  ShiftCap cap(0.29, kWindow);
  for (int i = 0; i < 99; ++i) {
    if (!cap.TryMove(Instant(0))) {
      cap.CountUnmoved(Instant(0));
    }
  }
  EXPECT_EQ(cap.moved(), 28U);
  EXPECT_TRUE(cap.TryMove(Instant(0)));
}

TEST(ShiftCapTest, AWindowStartsFromZero) {
  ShiftCap cap(0.5, kWindow);
  cap.CountUnmoved(Instant(0));
  EXPECT_TRUE(cap.MayMove(kWindow - Duration(1)));
  EXPECT_FALSE(cap.MayMove(kWindow));
  EXPECT_EQ(cap.UntilNextWindow(Instant(1)), kWindow - Duration(1));
}

}  // namespace
}  // namespace heatherlever
