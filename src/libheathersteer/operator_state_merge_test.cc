#include "heathersteer/operator_state_merge.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

using heatherlever::Instant;
using std::chrono::seconds;

constexpr Instant kStart = seconds(100);

OperatorState State(StoreVersion version,
                    std::uint64_t document_version,
                    std::set<std::string> evacuated = {}) {
  return {.version = version,
          .document = std::to_string(document_version),
          .document_version = document_version,
          .evacuated = std::move(evacuated)};
}

TEST(OperatorStateMergeTest,
     AConfigurationAtALowerVersionOfANewTimelineIsTaken) {
  OperatorStateMerge merge;
  merge.Update(State({1, 68}, 9), kStart);
  EXPECT_TRUE(merge.Update(State({2, 60}, 11), kStart));
  EXPECT_EQ(merge.state().document, "11");
}

TEST(OperatorStateMergeTest, AnOlderConfigurationOfACopyIsNotTaken) {
  OperatorStateMerge merge;
  merge.Update(State({1, 68}, 9), kStart);
  // Followers have to learn of the new timeline.
  EXPECT_TRUE(merge.Update(State({2, 60}, 6), kStart));
  EXPECT_EQ(merge.state().document, "9");
  EXPECT_EQ(merge.state().version, (StoreVersion{2, 60}));
}

TEST(OperatorStateMergeTest, AStateOfAnEarlierTimelineIsNotTaken) {
  OperatorStateMerge merge;
  merge.Update(State({2, 60}, 9), kStart);
  EXPECT_FALSE(merge.Update(State({1, 68}, 9, {"north-a"}), kStart));
  EXPECT_TRUE(merge.effective().evacuated.empty());
}

// A host that started after the restore may have read the older copy.
TEST(OperatorStateMergeTest, ANewerConfigurationAtTheSameVersionIsTaken) {
  OperatorStateMerge merge;
  merge.Update(State({2, 60}, 1), kStart);
  EXPECT_TRUE(merge.Update(State({2, 60}, 7), kStart));
  EXPECT_EQ(merge.state().document, "7");
}

TEST(OperatorStateMergeTest, ALostEvacuationHoldsUntilItIsWrittenAgain) {
  OperatorStateMerge merge;
  merge.Update(State({1, 68}, 9, {"north-a"}), kStart);
  merge.Update(State({2, 60}, 9), kStart);
  EXPECT_TRUE(merge.effective().evacuated.contains("north-a"));
  EXPECT_TRUE(merge.state().evacuated.empty());
  merge.Update(State({2, 61}, 9, {"north-a"}), kStart + seconds(1));
  merge.Update(State({2, 62}, 9), kStart + seconds(2));
  EXPECT_TRUE(merge.effective().evacuated.empty());
}

TEST(OperatorStateMergeTest, ALostEvacuationEndsIfItIsNotWrittenAgain) {
  OperatorStateMerge merge;
  merge.Update(State({1, 68}, 9, {"north-a"}), kStart);
  merge.Update(State({2, 60}, 9), kStart);
  EXPECT_FALSE(merge.Expire(kStart + seconds(9)));
  EXPECT_TRUE(merge.Expire(kStart + seconds(10)));
  EXPECT_TRUE(merge.effective().evacuated.empty());
}

TEST(OperatorStateMergeTest, AnEvacuationTakenBackWithinATimelineEndsAtOnce) {
  OperatorStateMerge merge;
  merge.Update(State({1, 68}, 9, {"north-a"}), kStart);
  EXPECT_TRUE(merge.Update(State({1, 69}, 9), kStart));
  EXPECT_TRUE(merge.effective().evacuated.empty());
}

}  // namespace
}  // namespace heathersteer
