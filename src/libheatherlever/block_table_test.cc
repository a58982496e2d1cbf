#include "heatherlever/block_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace heatherlever {
namespace {

const std::vector<std::string> kRegions = {"r0", "r1", "r2"};

using BlockKey = std::pair<std::uint32_t, int>;
using BlockMap = std::map<BlockKey, std::size_t>;

std::uint32_t PrefixMask(int length) {
  return length == 0 ? 0 : 0xffffffffU << (32 - length);
}

// Few distinct upper bits, so that blocks nest and meet often.
std::uint32_t RandomAddress() {
  const auto high = *rc::gen::element<std::uint32_t>(0, 1, 0x0a00, 0xffff);
  const auto low = *rc::gen::element<std::uint32_t>(0, 1, 0x80, 0x8000, 0xffff);
  return (high << 16) | (low ^ *rc::gen::inRange<std::uint32_t>(0, 4));
}

BlockKey RandomBlock() {
  const int length = *rc::gen::element(0, 1, 8, 14, 15, 16, 17, 24, 30, 31, 32);
  return {RandomAddress() & PrefixMask(length), length};
}

BlockMap RandomBlocks() {
  BlockMap blocks;
  for (int i = *rc::gen::inRange(0, 40); i > 0; --i) {
    blocks[RandomBlock()] = *rc::gen::inRange<std::size_t>(0, 3);
  }
  return blocks;
}

std::vector<BlockSpec> ToSpecs(const BlockMap& blocks) {
  std::vector<BlockSpec> specs;
  for (const auto& [key, region] : blocks) {
    specs.push_back({key.first, key.second, kRegions[region]});
  }
  std::reverse(specs.begin(), specs.end());
  return specs;
}

std::optional<std::size_t> NaiveFind(const BlockMap& blocks,
                                     std::uint32_t address) {
  std::optional<std::size_t> region;
  int longest = -1;
  for (const auto& [key, value] : blocks) {
    if ((address & PrefixMask(key.second)) == key.first &&
        key.second > longest) {
      longest = key.second;
      region = value;
    }
  }
  return region;
}

BlockTable Build(const BlockMap& blocks) {
  auto table = BlockTable::Build(ToSpecs(blocks), kRegions);
  EXPECT_TRUE(table.ok()) << table.status();
  return *std::move(table);
}

RC_GTEST_PROP(BlockTableTest, FindEqualsNaiveScan, ()) {
  const BlockMap blocks = RandomBlocks();
  const BlockTable table = Build(blocks);
  for (int i = 0; i < 40; ++i) {
    const std::uint32_t address = RandomAddress();
    RC_ASSERT(table.Find(address) == NaiveFind(blocks, address));
  }
}

RC_GTEST_PROP(BlockTableTest, DeltaEqualsRebuild, ()) {
  BlockMap blocks = RandomBlocks();
  BlockTable table = Build(blocks);
  for (int round = 0; round < 3; ++round) {
    BlockMap removed;
    for (const auto& entry : blocks) {
      if (*rc::gen::inRange(0, 3) == 0) {
        removed.insert(entry);
      }
    }
    const BlockMap added = RandomBlocks();
    RC_ASSERT(table.Apply({ToSpecs(removed), ToSpecs(added)}).ok());
    for (const auto& entry : removed) {
      blocks.erase(entry.first);
    }
    for (const auto& [key, region] : added) {
      blocks[key] = region;
    }
    RC_ASSERT(table == Build(blocks));
  }
}

TEST(BlockTableTest, EmptyTableFindsNothing) {
  EXPECT_EQ(BlockTable().Find(0), std::nullopt);
  EXPECT_EQ(BlockTable().Find(0xffffffffU), std::nullopt);
}

TEST(BlockTableTest, BadInputIsRefusedAndChangesNothing) {
  BlockTable table = Build({{{0x0a000000, 8}, 1}});
  const BlockTable before = table;
  EXPECT_EQ(table.Apply({{{0x0b000000, 8, ""}}, {}}).message(),
            "client block 11.0.0.0/8 is to be removed, but is not there");
  EXPECT_EQ(table.Apply({{{0x0a000000, 8, ""}}, {{0, 8, "r9"}}}).message(),
            "client block 0.0.0.0/8: no region is named 'r9'");
  EXPECT_EQ(table.Apply({{}, {{1, 8, "r0"}}}).message(),
            "client block 0.0.0.1/8: a length of 0 to 32 and no address bits "
            "beyond it were expected");
  EXPECT_FALSE(table.Apply({{}, {{0, 33, "r0"}}}).ok());
  EXPECT_EQ(table.Apply({{}, {{0, 0, "r0"}, {0, 0, "r1"}}}).message(),
            "client block 0.0.0.0/0 is listed twice");
  EXPECT_TRUE(table == before);
}

}  // namespace
}  // namespace heatherlever
