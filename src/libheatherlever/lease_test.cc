#include "heatherlever/lease.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace heatherlever {
namespace {

constexpr Instant kStart{0};

LeaseSettings Settings(const std::string& self) {
  LeaseSettings settings;
  settings.self = self;
  settings.duration = std::chrono::seconds(10);
  settings.renew_after = std::chrono::seconds(3);
  settings.drift_margin = std::chrono::seconds(1);
  return settings;
}

Lease Holder() {
  Lease lease(Settings("a"));
  lease.Observed(std::nullopt, 0, kStart);
  lease.NextWrite(kStart);
  lease.Written(1);
  return lease;
}

TEST(LeaseTest, FreeLeaseIsTakenAndCountsFromTheSend) {
  Lease lease(Settings("a"));
  EXPECT_EQ(lease.NextWrite(kStart), std::nullopt);
  lease.Observed(std::nullopt, 0, kStart);
  const auto write = lease.NextWrite(kStart);
  EXPECT_EQ(write, (LeaseWrite{{"a", 1, 1}, 0}));
  EXPECT_FALSE(lease.Holds(kStart));
  lease.Written(7);
  EXPECT_EQ(lease.Token(std::chrono::milliseconds(8'999)), (LeaseToken{1, 7}));
  EXPECT_FALSE(lease.Holds(std::chrono::seconds(9)));
}

TEST(LeaseTest, HolderRenewsUnderTheSameGeneration) {
  Lease lease = Holder();
  EXPECT_EQ(lease.NextWrite(std::chrono::milliseconds(2'999)), std::nullopt);
  const auto write = lease.NextWrite(std::chrono::seconds(3));
  EXPECT_EQ(write, (LeaseWrite{{"a", 1, 2}, 1}));
  lease.Written(2);
  EXPECT_TRUE(lease.Holds(std::chrono::milliseconds(11'999)));
}

TEST(LeaseTest, UnsettledRenewalCountsOnlyOnceItIsSeen) {
  Lease lease = Holder();
  const auto write = lease.NextWrite(std::chrono::seconds(5));
  lease.Unsettled();
  EXPECT_FALSE(lease.Holds(std::chrono::seconds(10)));
  lease.Observed(write->record, 2, std::chrono::seconds(12));
  EXPECT_TRUE(lease.Holds(std::chrono::seconds(12)));
  EXPECT_FALSE(lease.Holds(std::chrono::seconds(14)));
}

TEST(LeaseTest, ReleasedLeaseIsFreeAtOnce) {
  Lease lease = Holder();
  const auto release = lease.Release(std::chrono::seconds(1));
  EXPECT_FALSE(lease.Holds(std::chrono::seconds(1)));
  Lease other(Settings("b"));
  other.Observed(release->record, 2, std::chrono::seconds(1));
  EXPECT_EQ(other.NextWrite(std::chrono::seconds(1)),
            (LeaseWrite{{"b", 2, 1}, 2}));
}

TEST(LeaseTest, SeenTakeOverEndsTheLease) {
  Lease lease = Holder();
  lease.Observed(LeaseRecord{"b", 2, 1}, 2, std::chrono::seconds(1));
  EXPECT_FALSE(lease.Holds(std::chrono::seconds(1)));
}

TEST(LeaseTest, RecordsRoundTrip) {
  const LeaseRecord record{"a/1", 3, 4};
  EXPECT_EQ(LeaseRecord::Parse(record.Encode()).value(), record);
  EXPECT_FALSE(LeaseRecord::Parse("{}").ok());
}

// A candidate never writes over another's row before it has seen that very
// version for the whole duration.
TEST(LeaseTest, TakeOverWaitsForTheWholeDuration) {
  EXPECT_TRUE(rc::check([] {
    Lease lease(Settings("b"));
    Instant now{0};
    std::int64_t version = 0;
    Instant changed_at{0};
    const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::arbitrary<bool>()));
    for (const auto& [seconds, changed] : steps) {
      now += std::chrono::seconds(seconds);
      if (changed || version == 0) {
        ++version;
        changed_at = now;
      }
      lease.Observed(LeaseRecord{"a", 1, version}, version, now);
      const bool lapsed = now - changed_at >= std::chrono::seconds(10);
      RC_ASSERT(lease.NextWrite(now).has_value() == lapsed);
      if (lapsed) {
        return;
      }
    }
  }));
}

}  // namespace
}  // namespace heatherlever
