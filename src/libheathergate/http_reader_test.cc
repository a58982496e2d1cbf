#include "heathergate/http_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "heathergate/http_head.h"

namespace heathergate {
namespace {

ReadStatus FeedAll(HttpReader& reader, std::string_view text) {
  std::size_t used = 0;
  return reader.Feed(text, &used);
}

TEST(HttpReaderTest, ReadsConsecutiveRequests) {
  HttpReader reader(HttpReader::Kind::kRequest, {});
  const std::string text =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  std::size_t used = 0;
  ASSERT_EQ(reader.Feed(text, &used), ReadStatus::kComplete);
  EXPECT_EQ(reader.head().method, "POST");
  EXPECT_EQ(reader.body(), "abc");
  reader.Reset();
  ASSERT_EQ(FeedAll(reader, text.substr(used)), ReadStatus::kComplete);
  EXPECT_EQ(reader.head().target, "/b");
  EXPECT_TRUE(reader.head().keep_alive);
}

RC_GTEST_PROP(HttpReaderTest, ResultDoesNotDependOnFragmentation, ()) {
  const std::string text =
      "PUT /a?b HTTP/1.1\r\nHost: h\r\nX-Y: z\r\nTransfer-Encoding: chunked\r\n"
      "\r\n3\r\nabc\r\n5\r\ndefgh\r\n0\r\n\r\n";
  HttpReader reader(HttpReader::Kind::kRequest, {});
  std::string_view rest = text;
  ReadStatus status = ReadStatus::kNeedMore;
  while (!rest.empty()) {
    RC_ASSERT(status == ReadStatus::kNeedMore);
    const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
    std::size_t used = 0;
    status = reader.Feed(rest.substr(0, size), &used);
    rest.remove_prefix(used);
  }
  RC_ASSERT(status == ReadStatus::kComplete);
  RC_ASSERT(reader.body() == "abcdefgh");
  RC_ASSERT(*reader.head().Find("x-y") == "z");
}

// Guards against request smuggling: peers that disagree on where a message ends
// could take part of its body for another request.
TEST(HttpReaderTest, AmbiguousOrInvalidFramingIsMalformed) {
  const char* const messages[] = {
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Content-Length: 4\r\n\r\nabcd",
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, x\r\n\r\n",
      "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
      "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
  };
  for (const char* message : messages) {
    HttpReader reader(HttpReader::Kind::kRequest, {});
    EXPECT_EQ(FeedAll(reader, message), ReadStatus::kMalformed) << message;
  }
}

TEST(HttpReaderTest, HeadOrBodyOverLimitIsTooLarge) {
  HttpReader head(HttpReader::Kind::kRequest, {.head_bytes = 100});
  EXPECT_EQ(FeedAll(head, "GET / HTTP/1.1\r\nX: " + std::string(200, 'x')),
            ReadStatus::kHeadTooLarge);
  HttpReader complete_head(HttpReader::Kind::kRequest, {.head_bytes = 100});
  EXPECT_EQ(FeedAll(complete_head, "GET / HTTP/1.1\r\nX: " +
                                       std::string(200, 'x') + "\r\n\r\n"),
            ReadStatus::kHeadTooLarge);
  HttpReader length(HttpReader::Kind::kRequest, {.body_bytes = 10});
  EXPECT_EQ(FeedAll(length, "PUT / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"),
            ReadStatus::kBodyTooLarge);
  HttpReader chunks(HttpReader::Kind::kRequest, {.body_bytes = 3});
  EXPECT_EQ(FeedAll(chunks,
                    "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                    "\r\n4\r\nabcd\r\n"),
            ReadStatus::kBodyTooLarge);
}

TEST(HttpReaderTest, TruncatedResponseIsMalformed) {
  HttpReader reader(HttpReader::Kind::kResponse, {});
  EXPECT_EQ(FeedAll(reader, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"),
            ReadStatus::kNeedMore);
  EXPECT_EQ(reader.FeedEnd(), ReadStatus::kMalformed);
}

TEST(HttpReaderTest, ResponseWithoutLengthEndsWithConnection) {
  HttpReader reader(HttpReader::Kind::kResponse, {});
  EXPECT_EQ(FeedAll(reader, "HTTP/1.1 200 OK\r\n\r\nabc"),
            ReadStatus::kNeedMore);
  EXPECT_EQ(reader.FeedEnd(), ReadStatus::kComplete);
  EXPECT_EQ(reader.body(), "abc");
}

TEST(HttpReaderTest, SkipsInterimResponses) {
  HttpReader reader(HttpReader::Kind::kResponse, {});
  EXPECT_EQ(FeedAll(reader,
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No "
                    "Content\r\n\r\n"),
            ReadStatus::kComplete);
  EXPECT_EQ(reader.head().status, 204);
}

// A response with status 600 was passed on, and one with status 000 was waited
// for until the deadline as if it were an interim response.
TEST(HttpReaderTest, ResponsesWithoutAStatusOfHttpAreMalformed) {
  for (const char* status :
       {"000", "007", "042", "099", "600", "700", "999", "101", "0", "20",
        "0200", "00200", "1000", "2x0", "-20", "20 0"}) {
    for (const char* rest :
         {" Odd\r\nContent-Length: 0\r\n\r\n", " Odd\r\n\r\n",
          "\r\nContent-Length: 3\r\n\r\nabc"}) {
      HttpReader whole(HttpReader::Kind::kResponse, {});
      const std::string text = std::string("HTTP/1.1 ") + status + rest;
      EXPECT_EQ(FeedAll(whole, text), ReadStatus::kMalformed) << text;
      HttpReader pieces(HttpReader::Kind::kResponse, {});
      ReadStatus read = ReadStatus::kNeedMore;
      for (std::size_t i = 0; i < text.size() && read == ReadStatus::kNeedMore;
           ++i) {
        read = FeedAll(pieces, std::string_view(text).substr(i, 1));
      }
      EXPECT_EQ(read, ReadStatus::kMalformed) << text;
    }
  }
}

TEST(HttpReaderTest, ResponseWithoutAStatusOfHttpAfterAnInterimIsMalformed) {
  HttpReader reader(HttpReader::Kind::kResponse, {});
  EXPECT_EQ(FeedAll(reader,
                    "HTTP/1.1 103 Early Hints\r\n\r\n"
                    "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n"),
            ReadStatus::kMalformed);
}

TEST(HttpReaderTest, UnusualStatusesOfHttpAreRead) {
  for (const int status : {200, 299, 399, 418, 499, 500, 599}) {
    for (const char* before : {"", "\r\n", "HTTP/1.1 199 Odd\r\n\r\n"}) {
      HttpReader reader(HttpReader::Kind::kResponse, {});
      EXPECT_EQ(FeedAll(reader, before + ("HTTP/1.1 " + std::to_string(status) +
                                          "\r\nContent-Length: 0\r\n\r\n")),
                ReadStatus::kComplete);
      EXPECT_EQ(reader.head().status, status);
    }
  }
}

}  // namespace
}  // namespace heathergate
