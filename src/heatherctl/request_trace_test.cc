#include "heatherctl/request_trace.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "heatherctl/text_lines.h"

namespace heatherctl {
namespace {

using Lines = std::vector<std::string>;

Lines LogLines() {
  return TextLines(
      "h1 I configuration 9 in force: 21 routes, 3 services; before: 3\n"
      "h1 I backend server i-2 of s at 10.0.0.2:80 in d-a: ready\n"
      "h1 I backend server i-3 of s at 10.0.0.3:80 in d-a: ready\n"
      "h1 I request id=aa broken at i-2 after 3 ms: End of file; "
      "suspended=true\n"
      "h1 I request id=bb broken at i-2 after 4 ms: End of file; "
      "suspended=true\n"
      "h1 I request id=bb route=r rank=2 status=502 reason=\"outcome "
      "unknown\" sends=1 servers=i-2 took_ms=4 left_ms=900 config=9\n"
      "h1 I backend server i-2 is no longer listed\n");
}

TEST(RequestTraceTest, TellsTheEndItsMeaningAndTheBeliefsBeforeIt) {
  const Lines lines = LogLines();
  const RequestTrace trace = TraceRequest("bb", lines);
  EXPECT_EQ(trace.own, Lines(lines.begin() + 4, lines.begin() + 6));
  EXPECT_EQ(trace.context.size(), 3U);
  EXPECT_EQ(trace.context.back(), lines[3]);
  EXPECT_NE(trace.meaning.find("may have run"), std::string::npos);
}

TEST(RequestTraceTest, TheFirstChoiceOfARejectedRequestIsAServerOfIts) {
  Lines lines = LogLines();
  lines.emplace_back(
      "h1 I request id=cc finds no room: candidates=2 first=i-3 load=6.6 "
      "own=1 limit=3.3 report_age_ms=160");
  const RequestTrace trace = TraceRequest("cc", lines);
  ASSERT_EQ(trace.context.size(), 1U);
  EXPECT_EQ(trace.context.front(), lines[2]);
  EXPECT_TRUE(trace.meaning.empty());
}

TEST(RequestTraceTest, AnUnknownIdHasNoLines) {
  EXPECT_TRUE(TraceRequest("b", LogLines()).own.empty());
}

}  // namespace
}  // namespace heatherctl
