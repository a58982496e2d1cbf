// Property tests of the HTTP reader with arbitrary and corrupted input.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "heathergate/http_head.h"
#include "heathergate/http_reader.h"

namespace heathergate {
namespace {

constexpr ReadLimits kLimits{.head_bytes = 512, .body_bytes = 256};
// Bytes beyond the limit that the parser may consume before it reports the
// excess.
constexpr std::size_t kHeadSlack = 512;

struct ReadResult {
  ReadStatus status = ReadStatus::kNeedMore;
  std::size_t used = 0;
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;

  bool operator==(const ReadResult&) const = default;
};

// Feeds `text` in pieces of the given sizes, which are repeated as needed.
ReadResult ReadInPieces(const std::string& text,
                        const std::vector<std::size_t>& sizes) {
  HttpReader reader(HttpReader::Kind::kRequest, kLimits);
  ReadResult result;
  std::size_t piece = 0;
  while (result.used < text.size() && result.status == ReadStatus::kNeedMore) {
    const std::size_t size =
        sizes.empty() ? text.size() : sizes[piece++ % sizes.size()];
    std::size_t used = 0;
    result.status =
        reader.Feed(std::string_view(text).substr(result.used, size), &used);
    result.used += used;
  }
  if (result.status == ReadStatus::kComplete) {
    result.target = reader.head().target;
    result.body = reader.body();
    for (const HeaderField& field : reader.head().fields) {
      result.fields.emplace_back(field.name, field.value);
    }
  }
  return result;
}

std::vector<std::size_t> PieceSizes() {
  return *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(1, 40));
}

std::string Request() {
  const std::string body =
      *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
  const bool chunked = *rc::gen::arbitrary<bool>();
  std::string text = "POST /x/1?a=b HTTP/1.1\r\nHost: a.example\r\nX-Y: z\r\n";
  if (!chunked) {
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kChunk = 9;
  for (std::size_t position = 0; position < body.size(); position += kChunk) {
    const std::string chunk = body.substr(position, kChunk);
    text += std::to_string(chunk.size()) + "\r\n" + chunk + "\r\n";
  }
  return text + "0\r\n\r\n";
}

TEST(HttpReaderFuzzTest, ResultDoesNotDependOnFragmentation) {
  rc::check([] {
    const std::string text = Request();
    RC_ASSERT(ReadInPieces(text, PieceSizes()) == ReadInPieces(text, {}));
  });
}

TEST(HttpReaderFuzzTest, CompleteRequestIsReadExactlyToItsEnd) {
  rc::check([] {
    const std::string text = Request();
    const ReadResult result =
        ReadInPieces(text + "GET /smuggled HTTP/1.1\r\n\r\n", PieceSizes());
    RC_PRE(result.status == ReadStatus::kComplete);
    RC_ASSERT(result.used == text.size());
    RC_ASSERT(result.target == "/x/1?a=b");
  });
}

TEST(HttpReaderFuzzTest, CorruptedRequestsStayWithinLimits) {
  rc::check([] {
    std::string text = Request();
    const int corruptions = *rc::gen::inRange(1, 6);
    for (int i = 0; i < corruptions; ++i) {
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
      text[position] = *rc::gen::arbitrary<char>();
    }
    const ReadResult result = ReadInPieces(text, PieceSizes());
    if (result.status == ReadStatus::kComplete) {
      RC_ASSERT(result.body.size() <= kLimits.body_bytes);
      std::size_t head = result.target.size();
      for (const auto& [name, value] : result.fields) {
        head += name.size() + value.size();
        RC_ASSERT(name.find_first_of(" \t\r\n:") == std::string::npos);
        RC_ASSERT(value.find_first_of("\r\n") == std::string::npos);
      }
      RC_ASSERT(head <= kLimits.head_bytes + kHeadSlack);
    }
  });
}

// Requests can be smuggled with two framings of one body, or with two lengths.
TEST(HttpReaderFuzzTest, AmbiguousFramingIsNeverComplete) {
  rc::check([] {
    const auto first = *rc::gen::inRange(0, 40);
    const auto second = *rc::gen::inRange(41, 80);
    const bool mixed = *rc::gen::arbitrary<bool>();
    const std::string other = mixed
                                  ? "Transfer-Encoding: chunked"
                                  : "Content-Length: " + std::to_string(second);
    const std::string text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                             std::to_string(first) + "\r\n" + other +
                             "\r\n\r\n0\r\n\r\n" + std::string(80, 'x');
    RC_ASSERT(ReadInPieces(text, PieceSizes()).status ==
              ReadStatus::kMalformed);
  });
}

TEST(HttpReaderFuzzTest, ArbitraryInputConsumesNoMoreThanItsSize) {
  rc::check([](const std::string& text) {
    const ReadResult result = ReadInPieces(text, PieceSizes());
    RC_ASSERT(result.used <= text.size());
  });
}

}  // namespace
}  // namespace heathergate
