#include "backend_ledger.h"

#include <gtest/gtest.h>

namespace heatherlever {
namespace {

std::vector<BackendSpec> Specs(int count, int slots) {
  std::vector<BackendSpec> specs(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < specs.size(); ++i) {
    specs[i].name = std::string("b").append(std::to_string(i));
    specs[i].slots = slots;
  }
  return specs;
}

TEST(BackendLedgerTest, PicksTheServerWithTheMostFreeSlots) {
  const PoolOptions options;
  BackendLedger ledger(options, 1);
  ledger.Update(Specs(2, 2), {}, Instant(0));
  ledger.Take(0);
  EXPECT_EQ(ledger.Pick({}, false), BackendIndex{1});
  EXPECT_EQ(ledger.Pick({1}, false), BackendIndex{0});
  EXPECT_EQ(ledger.Pick({0, 1}, false), std::nullopt);
}

TEST(BackendLedgerTest, ReportsDecideBetweenEqualServersOnly) {
  const PoolOptions options;
  BackendLedger ledger(options, 1);
  ledger.Update(Specs(2, 2), {}, Instant(0));
  ledger.Report({"b0", 0, false});
  EXPECT_EQ(ledger.Pick({}, false), BackendIndex{1});
  ledger.Take(1);
  EXPECT_EQ(ledger.Pick({}, false), BackendIndex{0});
}

TEST(BackendLedgerTest, NeverEjectsMoreThanTheConfiguredShare) {
  const PoolOptions options;
  BackendLedger ledger(options, 1);
  ledger.Update(Specs(6, 1), {}, Instant(0));
  for (BackendIndex i = 0; i < 6; ++i) {
    for (int failure = 0; failure < 5; ++failure) {
      ledger.OnUnresponsive(i, Instant(0));
    }
  }
  EXPECT_EQ(ledger.usable_slots(), 4);
}

// A server that shuts down without notice sheds every request. While it counts
// as usable it has the most free slots, and so gets every request first.
TEST(BackendLedgerTest, EjectsAServerThatShedsItsOnlyRequest) {
  const PoolOptions options;
  BackendLedger ledger(options, 1);
  ledger.Update(Specs(3, 2), {}, Instant(0));
  for (int i = 0; i < options.eject_after_failures; ++i) {
    ledger.Take(0);
    ledger.OnResult(0, AttemptResult::kShed, Duration(10), Instant(0));
    ledger.Release(0);
  }
  EXPECT_EQ(ledger.usable_slots(), 4);
}

TEST(BackendLedgerTest, DoesNotEjectAServerThatShedsUnderLoad) {
  const PoolOptions options;
  BackendLedger ledger(options, 1);
  ledger.Update(Specs(3, 2), {}, Instant(0));
  ledger.Take(0);
  for (int i = 0; i < 5; ++i) {
    ledger.Take(0);
    ledger.OnResult(0, AttemptResult::kShed, Duration(10), Instant(0));
    ledger.Release(0);
  }
  EXPECT_EQ(ledger.usable_slots(), 5);
}

TEST(BackendLedgerTest, ServersAddedOrBackFromADrainAreCold) {
  const PoolOptions options;
  BackendLedger ledger(options, 1);
  ledger.Update(Specs(1, 8), {}, Instant(0));
  EXPECT_EQ(ledger.usable_slots(), 8);
  ledger.Update(Specs(2, 8), {"b0"}, Instant(1));
  EXPECT_EQ(ledger.usable_slots(), 2);
  ledger.Update(Specs(2, 8), {}, Instant(2));
  EXPECT_EQ(ledger.usable_slots(), 4);
}

TEST(BackendLedgerTest, ReplacedServersTakeNoMemory) {
  const PoolOptions options;
  BackendLedger ledger(options, 1);
  ledger.Update(Specs(2, 2), {}, Instant(0));
  ledger.Take(0);
  for (int i = 0; i < 100; ++i) {
    std::vector<BackendSpec> specs = Specs(1, 2);
    specs[0].name = std::string("new").append(std::to_string(i));
    ledger.Update(specs, {}, Instant(i));
  }
  // The one that still runs a request, the last one removed, and the newest.
  EXPECT_EQ(ledger.states().size(), 3U);
  EXPECT_EQ(ledger.at(0).name, "b0");
  EXPECT_EQ(ledger.at(0).in_flight, 1);
}

TEST(BackendLedgerTest, ServersAreColdAfterAnEjection) {
  const PoolOptions options;
  BackendLedger ledger(options, 1);
  ledger.Update(Specs(3, 8), {}, Instant(0));
  for (int failure = 0; failure < 3; ++failure) {
    ledger.OnUnresponsive(0, Instant(0));
  }
  EXPECT_EQ(ledger.usable_slots(), 16);
  EXPECT_EQ(ledger.NextDue(), std::chrono::seconds(1));
  ledger.Advance(std::chrono::seconds(1));
  EXPECT_EQ(ledger.usable_slots(), 17);
}

TEST(BackendLedgerTest, ProbesServersWithIdempotentWorkAfterAnEjection) {
  const PoolOptions options;
  BackendLedger ledger(options, 1);
  ledger.Update(Specs(3, 8), {}, Instant(0));
  for (int failure = 0; failure < 3; ++failure) {
    ledger.OnUnresponsive(0, Instant(0));
  }
  ledger.Advance(std::chrono::seconds(1));
  EXPECT_EQ(ledger.Pick({1, 2}, false), std::nullopt);
  EXPECT_EQ(ledger.Pick({1, 2}, true), BackendIndex{0});
  EXPECT_EQ(ledger.NextDue(), std::chrono::seconds(6));
  ledger.Advance(std::chrono::seconds(6));
  EXPECT_EQ(ledger.Pick({1, 2}, false), BackendIndex{0});
  ledger.OnResult(0, AttemptResult::kOk, std::chrono::milliseconds(40),
                  std::chrono::seconds(6));
  EXPECT_GT(ledger.usable_slots(), 17);
}

}  // namespace
}  // namespace heatherlever
