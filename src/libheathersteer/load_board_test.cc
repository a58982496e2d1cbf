#include "heathersteer/load_board.h"

#include <gtest/gtest.h>

#include <chrono>

namespace heathersteer {
namespace {

using std::chrono::seconds;

TEST(LoadBoardTest, TheNewestReportOfAServerIsToldOnce) {
  LoadBoard board;
  board.Note("a", {1, seconds(1)});
  board.Note("a", {4, seconds(3)});
  board.Note("a", {9, seconds(2)});
  board.Note("b", {2, seconds(1)});
  EXPECT_EQ(board.Take(10), (LoadBoard::Reports{{"a", {4, seconds(3)}},
                                                {"b", {2, seconds(1)}}}));
  EXPECT_TRUE(board.Take(10).empty());
}

TEST(LoadBoardTest, NoServerIsPassedOverWhileOthersReportAgainAndAgain) {
  LoadBoard board;
  board.Note("c", {3, seconds(1)});
  for (int i = 0; i < 3; ++i) {
    board.Note("a", {i, seconds(i)});
    board.Note("b", {i, seconds(i)});
    const auto taken = board.Take(1);
    ASSERT_EQ(taken.size(), 1U);
    if (taken.contains("c")) {
      return;
    }
  }
  FAIL() << "c was passed over three times";
}

}  // namespace
}  // namespace heathersteer
