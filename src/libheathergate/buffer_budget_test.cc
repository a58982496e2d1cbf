#include "heathergate/buffer_budget.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include "heathergate/buffer_hold.h"

namespace heathergate {
namespace {

constexpr std::size_t kMaxBytes = 100;
constexpr std::size_t kMaxRequestBytes = 60;

class BufferBudgetTest : public testing::Test {
 protected:
  static void Ignore() {}

  std::shared_ptr<BufferBudget> budget_ =
      std::make_shared<BufferBudget>(kMaxBytes, kMaxRequestBytes);
};

TEST_F(BufferBudgetTest, RequestsLeaveRoomForResponses) {
  BufferHold first(budget_, Ignore);
  BufferHold second(budget_, Ignore);
  EXPECT_TRUE(first.HoldRequest(60));
  EXPECT_FALSE(second.HoldRequest(1));
  second.Release();
  second.HoldResponse(40);
  EXPECT_EQ(budget_->used(), 100);
  EXPECT_EQ(budget_->drops(), 0);
}

TEST_F(BufferBudgetTest, RequestIsRejectedWhileResponsesTakeItsRoom) {
  BufferHold response(budget_, Ignore);
  BufferHold request(budget_, Ignore);
  response.HoldResponse(90);
  EXPECT_FALSE(request.HoldRequest(20));
  EXPECT_EQ(budget_->drops(), 0);
}

// Requests beyond their part made the host drop every response.
TEST_F(BufferBudgetTest, RequestsNeverDropResponsesWithinTheirPart) {
  BufferHold requests(budget_, Ignore);
  BufferHold response(budget_, [] { FAIL() << "a small one was dropped"; });
  EXPECT_FALSE(requests.HoldRequest(160));
  response.HoldResponse(1);
  response.HoldResponse(40);
  EXPECT_EQ(budget_->drops(), 0);
}

TEST_F(BufferBudgetTest, LargestResponseIsDroppedForASmallOne) {
  BufferHold small(budget_, [] { FAIL() << "the small one was dropped"; });
  bool dropped = false;
  BufferHold large(budget_, [&] { dropped = true; });
  large.HoldResponse(99);
  small.HoldResponse(2);
  EXPECT_TRUE(dropped);
  EXPECT_EQ(budget_->used(), 2);
  EXPECT_EQ(budget_->drops(), 1);
}

TEST_F(BufferBudgetTest, GrowingResponseDropsItselfIfItIsTheLargest) {
  BufferHold other(budget_, [] { FAIL() << "the smaller one was dropped"; });
  other.HoldResponse(40);
  std::optional<BufferHold> growing;
  growing.emplace(budget_, [&] { growing.reset(); });
  growing->HoldResponse(50);
  EXPECT_TRUE(growing.has_value());
  growing->HoldResponse(70);
  EXPECT_FALSE(growing.has_value());
  EXPECT_EQ(budget_->used(), 40);
}

TEST_F(BufferBudgetTest, DropsUntilTheRestFits) {
  int drops = 0;
  BufferHold first(budget_, [&] { ++drops; });
  BufferHold second(budget_, [&] { ++drops; });
  BufferHold request(budget_, Ignore);
  first.HoldResponse(50);
  second.HoldResponse(50);
  EXPECT_FALSE(request.HoldRequest(60));
  BufferHold third(budget_, [&] { ++drops; });
  third.HoldResponse(1);
  EXPECT_EQ(drops, 2);
  EXPECT_EQ(budget_->used(), 61);
}

TEST_F(BufferBudgetTest, DestroyedHoldReleasesItsBytes) {
  {
    BufferHold request(budget_, Ignore);
    BufferHold response(budget_, Ignore);
    request.HoldRequest(10);
    response.HoldResponse(10);
    response.HoldResponse(20);
    EXPECT_EQ(budget_->used(), 30);
  }
  EXPECT_EQ(budget_->used(), 0);
}

TEST_F(BufferBudgetTest, HoldWithoutBudgetCountsNothing) {
  BufferHold hold(nullptr, Ignore);
  EXPECT_TRUE(hold.HoldRequest(1000));
  hold.HoldResponse(1000);
  hold.Release();
}

}  // namespace
}  // namespace heathergate
