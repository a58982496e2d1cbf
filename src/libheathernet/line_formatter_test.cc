#include "libheathernet/line_formatter.h"

#include <gtest/gtest.h>

namespace heathernet {
namespace {

std::string Format(std::string_view text) {
  LineFormatter formatter("%L %v");
  spdlog::memory_buf_t line;
  formatter.format({"part", spdlog::level::warn, text}, line);
  return {line.data(), line.size()};
}

TEST(LineFormatterTest, PlainTextStaysAsItIs) {
  EXPECT_EQ(Format("server i-1 of s: \"ready\""),
            "W server i-1 of s: \"ready\"\n");
  EXPECT_EQ(Format("\u6771\u4eac \u00e9"), "W \u6771\u4eac \u00e9\n");
}

// The key of an entry in the store began lines of its own in the log.
TEST(LineFormatterTest, LineEndsAndControlCharactersAreEscaped) {
  EXPECT_EQ(Format("i-0\nW forged\r\n"), "W i-0\\nW forged\\r\\n\n");
  EXPECT_EQ(Format("a\tb\x1b[2J\x7f"), "W a\\tb\\x1b[2J\\x7f\n");
  EXPECT_EQ(Format(std::string_view("a\0b", 3)), "W a\\x00b\n");
  EXPECT_EQ(Format("a\u0085b\u2028c\u2029"), "W a\\u0085b\\u2028c\\u2029\n");
  EXPECT_EQ(Format("a\\nb"), "W a\\\\nb\n");
}

TEST(LineFormatterTest, BrokenUtf8IsKept) {
  EXPECT_EQ(Format("a\xc2"), "W a\xc2\n");
  EXPECT_EQ(Format("\xe2\x80"), "W \xe2\x80\n");
  EXPECT_EQ(Format("\xc2\n"), "W \xc2\\n\n");
}

TEST(LineFormatterTest, ACopyFormatsAlike) {
  const LineFormatter formatter("%v");
  spdlog::memory_buf_t line;
  formatter.clone()->format({"part", spdlog::level::warn, "a\nb"}, line);
  EXPECT_EQ(std::string(line.data(), line.size()), "a\\nb\n");
}

}  // namespace
}  // namespace heathernet
