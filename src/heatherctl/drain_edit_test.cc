#include "heatherctl/drain_edit.h"

#include <gtest/gtest.h>

#include "heatherctl/line_diff.h"
#include "heatherctl/platform_access.h"

namespace heatherctl {
namespace {

constexpr char kConfig[] =
    "name: small  # kept\n"
    "drains:\n"
    "  - {name: rack-7, select: domain = west-a}\n"
    "\n"
    "# Home regions.\n"
    "blocks: []\n";

TEST(DrainEditTest, AddsAndRemovesOnlyLinesOfDrains) {
  const std::string added =
      AddDrain(kConfig, {"drain-1", "region = west", "30s"});
  EXPECT_EQ(DrainNames(added), (std::vector<std::string>{"rack-7", "drain-1"}));
  EXPECT_NE(added.find("name: small  # kept\n"), std::string::npos);
  EXPECT_NE(added.find("\n\n# Home regions.\nblocks: []\n"), std::string::npos);
  EXPECT_NE(added.find("ramp: 30s"), std::string::npos);
  EXPECT_EQ(DrainNames(RemoveDrain(added, "rack-7")),
            std::vector<std::string>{"drain-1"});
}

TEST(DrainEditTest, RemovingTheLastLeavesAnEmptyList) {
  const std::string removed = RemoveDrain(kConfig, "rack-7");
  EXPECT_NE(removed.find("drains: []\n"), std::string::npos);
  EXPECT_EQ(AddDrain(removed, {"rack-7", "domain = west-a", ""}),
            AddDrain("name: small  # kept\ndrains:\n\n# Home regions.\nblocks: "
                     "[]\n",
                     {"rack-7", "domain = west-a", ""}));
}

TEST(DrainEditTest, AddsTheKeyWhereItIsAbsent) {
  EXPECT_EQ(DrainNames(AddDrain("name: x\n", {"a", "region = west", ""})),
            std::vector<std::string>{"a"});
}

TEST(DrainEditTest, NamesAreUniqueAndHinted) {
  EXPECT_EQ(FreeDrainName(kConfig), "drain-1");
  EXPECT_THROW(AddDrain(kConfig, {"rack-7", "region = west", ""}), InputError);
  try {
    RemoveDrain(kConfig, "rack-8");
    FAIL() << "a drain that does not exist was removed";
  } catch (const InputError& error) {
    EXPECT_NE(std::string(error.what()).find("rack-7"), std::string::npos);
  }
}

TEST(LineDiffTest, ShowsOnlyChangedLines) {
  EXPECT_TRUE(LineDiff("a\nb\n", "a\nb\n").empty());
  EXPECT_EQ(LineDiff("a\nb\nc\n", "a\nx\nc\nd\n"),
            (std::vector<std::string>{"- b", "+ x", "+ d"}));
  EXPECT_EQ(LineDiff("a\na\n", "a\n"), std::vector<std::string>{"- a"});
}

}  // namespace
}  // namespace heatherctl
