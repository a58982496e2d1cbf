#ifndef HEATHERGATE_HTTP_READER_H_
#define HEATHERGATE_HTTP_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace heathergate {

struct HttpHead;

/// How far the present message has been read.
enum class ReadStatus {
  kNeedMore,
  kComplete,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Bounds on one message.
struct ReadLimits {
  std::size_t head_bytes = 16384;
  std::uint64_t body_bytes = 1 << 20;
};

/// Parses HTTP/1.1 messages of one connection, one after the other.
class HttpReader {
 public:
  enum class Kind { kRequest, kResponse };

  HttpReader(Kind kind, ReadLimits limits);
  ~HttpReader();

  /// Reads from `data` up to the end of the present message; sets `used` to the
  /// bytes taken. Interim responses (1xx) are passed over.
  ReadStatus Feed(std::string_view data, std::size_t* used);

  /// The sender has closed the connection in an orderly way.
  ReadStatus FeedEnd();

  /// Gets ready for the next message.
  void Reset();

  /// Responses only: the request was a HEAD, so that no body follows.
  void ExpectNoBody();

  void set_limits(ReadLimits limits);

  /// Whether a byte of the present message has been read.
  bool started() const;
  bool head_complete() const;
  HttpHead& head();
  std::string& body();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_READER_H_
