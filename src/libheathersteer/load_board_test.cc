#include "heathersteer/load_board.h"

#include <gtest/gtest.h>

namespace heathersteer {
namespace {

TEST(LoadBoardTest, TheNewestReportOfAServerIsToldOnce) {
  LoadBoard board;
  board.Note("a", 1);
  board.Note("a", 4);
  board.Note("b", 2);
  EXPECT_EQ(board.Take(10), (LoadBoard::Reports{{"a", 4}, {"b", 2}}));
  EXPECT_TRUE(board.Take(10).empty());
}

TEST(LoadBoardTest, NoServerIsPassedOverWhileOthersReportAgainAndAgain) {
  LoadBoard board;
  board.Note("c", 3);
  for (int i = 0; i < 3; ++i) {
    board.Note("a", i);
    board.Note("b", i);
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
