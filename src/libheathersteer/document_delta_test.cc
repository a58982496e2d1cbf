#include "heathersteer/document_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace heathersteer {
namespace {

constexpr std::uint64_t kBaseVersion = 7;

// Entries repeat, as `id` is taken modulo a small number.
std::string MakeDocument(const std::vector<unsigned>& ids) {
  std::string document = "{\"entries\":{";
  for (const unsigned id : ids) {
    document += "\"e" + std::to_string(id % 16) + "\":{\"x\":[{\"y\":1}]},";
  }
  return document + "},\"version\":" + std::to_string(ids.size());
}

std::size_t TextSize(const DocumentDelta& delta) {
  std::size_t size = 0;
  for (const auto& piece : delta.pieces) {
    size += piece.text.size();
  }
  return size;
}

RC_GTEST_PROP(DocumentDeltaTest,
              RestoresTheDocument,
              (const std::vector<unsigned>& before,
               const std::vector<unsigned>& after)) {
  const std::string base = MakeDocument(before);
  const std::string document = MakeDocument(after);
  const DocumentDelta delta = MakeDocumentDelta(base, kBaseVersion, document);
  RC_ASSERT(delta.base_version == kBaseVersion);
  RC_ASSERT(ApplyDocumentDelta(base, delta) == document);
}

RC_GTEST_PROP(DocumentDeltaTest,
              RestoresAnyText,
              (const std::string& base, const std::string& document)) {
  const DocumentDelta delta = MakeDocumentDelta(base, kBaseVersion, document);
  RC_ASSERT(ApplyDocumentDelta(base, delta) == document);
}

TEST(DocumentDeltaTest, AddedEntryIsTheOnlyText) {
  std::vector<unsigned> ids;
  for (unsigned id = 0; id < 16; ++id) {
    ids.push_back(id);
  }
  const std::string base = MakeDocument(ids);
  std::string document = base;
  document.insert(base.find("\"e9\""), "\"new\":{\"x\":[]},");
  const DocumentDelta delta = MakeDocumentDelta(base, kBaseVersion, document);
  EXPECT_LT(TextSize(delta), base.size() / 8);
  EXPECT_LE(delta.pieces.size(), 4U);
}

TEST(DocumentDeltaTest, IsNotAppliedToAnotherText) {
  const std::string base = MakeDocument({1, 2, 3});
  const DocumentDelta delta =
      MakeDocumentDelta(base, kBaseVersion, MakeDocument({1, 2, 3, 4}));
  EXPECT_EQ(ApplyDocumentDelta(MakeDocument({1, 2, 5}), delta), std::nullopt);
  EXPECT_EQ(ApplyDocumentDelta("", delta), std::nullopt);
}

}  // namespace
}  // namespace heathersteer
