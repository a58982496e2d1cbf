#include "heatherlever/rank.h"

#include <gtest/gtest.h>

namespace heatherlever {
namespace {

TEST(RankTest, NamesRoundTrip) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const Rank rank = static_cast<Rank>(i);
    EXPECT_EQ(RankFromName(RankName(rank)), rank);
  }
}

TEST(RankTest, UnknownNameHasNoRank) {
  EXPECT_EQ(RankFromName("fourth"), std::nullopt);
}

}  // namespace
}  // namespace heatherlever
