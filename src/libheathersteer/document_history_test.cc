#include "heathersteer/document_history.h"

#include <gtest/gtest.h>

#include <string>

namespace heathersteer {
namespace {

TEST(DocumentHistoryTest, GivesTheDifferenceToTheNewestVersion) {
  DocumentHistory history;
  history.Update("{a}{b}", 1);
  history.Update("{a}{b}{c}", 2);
  ASSERT_NE(history.Since(1), nullptr);
  EXPECT_EQ(ApplyDocumentDelta("{a}{b}", *history.Since(1)), "{a}{b}{c}");
  history.Update("{b}{c}", 4);
  EXPECT_EQ(ApplyDocumentDelta("{a}{b}", *history.Since(1)), "{b}{c}");
  EXPECT_EQ(ApplyDocumentDelta("{a}{b}{c}", *history.Since(2)), "{b}{c}");
}

TEST(DocumentHistoryTest, UnknownAndNewestVersionsHaveNoDifference) {
  DocumentHistory history;
  EXPECT_EQ(history.Since(0), nullptr);
  history.Update("{a}", 3);
  EXPECT_EQ(history.Since(3), nullptr);
  EXPECT_EQ(history.Since(2), nullptr);
}

TEST(DocumentHistoryTest, ForgetsOldVersions) {
  DocumentHistory history;
  for (std::uint64_t version = 1; version <= 8; ++version) {
    history.Update(std::string(version, 'v'), version);
  }
  EXPECT_EQ(history.Since(1), nullptr);
  EXPECT_NE(history.Since(7), nullptr);
}

}  // namespace
}  // namespace heathersteer
