#ifndef HEATHERGATE_HTTP_HEAD_H_
#define HEATHERGATE_HTTP_HEAD_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace heathergate {

/// One header field, as it was sent.
struct HeaderField {
  std::string name;
  std::string value;
};

/// Start line and header fields of an HTTP/1.1 message.
struct HttpHead {
  /// Requests only.
  std::string method;
  std::string target;
  /// Responses only.
  int status = 0;
  std::vector<HeaderField> fields;
  /// Whether the sender keeps the connection open after this message.
  bool keep_alive = true;

  /// Value of the first field of that name, in any case; nullptr if absent.
  const std::string* Find(std::string_view name) const;

  /// The same; an empty text if absent.
  std::string Value(std::string_view name) const;
};

/// Whether two header names are equal but for case.
bool SameName(std::string_view a, std::string_view b);

/// Whether a field concerns only one connection and is not forwarded.
/// `connection` is the value of the message's Connection field, if any.
bool IsHopByHopField(std::string_view name, const std::string* connection);

/// The whole head of a POST between hosts, for a body of a known size.
std::string PostHead(const std::string& path,
                     const std::string& host,
                     std::size_t body_size);

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_HEAD_H_
