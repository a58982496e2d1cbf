#ifndef HEATHERGATE_HTTP_READER_H_
#define HEATHERGATE_HTTP_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace heathergate {

struct HttpHead;

/// State of the current message after a read.
enum class ReadStatus {
  kNeedMore,
  kComplete,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

/// Size limits of one message.
struct ReadLimits {
  std::size_t head_bytes = 16384;
  std::uint64_t body_bytes = 1 << 20;
};

/// Incremental parser for the successive HTTP/1.1 messages of one connection.
class HttpReader {
 public:
  enum class Kind { kRequest, kResponse };

  HttpReader(Kind kind, ReadLimits limits);
  ~HttpReader();

  /// Parses `data` up to the end of the current message and sets `used` to the
  /// number of bytes consumed. Interim responses (1xx) are skipped.
  ReadStatus Feed(std::string_view data, std::size_t* used);

  /// Call it when the sender has closed the connection. Returns
  /// kComplete if that ends the current message, otherwise kMalformed.
  ReadStatus FeedEnd();

  /// Prepares for the next message, and frees the memory of the current one.
  void Reset();

  /// The next message is the response to a HEAD request, which has no body.
  void ExpectNoBody();

  void set_limits(ReadLimits limits);

  /// Whether any byte of the current message has been read.
  bool started() const;
  bool head_complete() const;
  /// Whether the fields of the current message announce a body that a message
  /// of its kind doesn't have. The sender may send it all the same.
  bool skipped_body() const;
  HttpHead& head();
  std::string& body();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_READER_H_
