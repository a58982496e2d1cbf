#ifndef HEATHERGATE_HEAD_WRITER_H_
#define HEATHERGATE_HEAD_WRITER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace heathergate {

/// Writes the head of an HTTP/1.1 message. Line ends and NUL in its texts are
/// written as spaces (RFC 9110, 5.5), so that none begins another line.
class HeadWriter {
 public:
  static HeadWriter ForRequest(std::string_view method,
                               std::string_view target);
  static HeadWriter ForResponse(int status, std::string_view reason);

  void AddField(std::string_view name, std::string_view value);
  void AddField(std::string_view name, std::size_t number);

  /// Ends the head and returns it.
  std::string Finish() &&;

 private:
  void Append(std::string_view text);

  std::string text_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HEAD_WRITER_H_
