#ifndef HEATHERGATE_HTTP_HEAD_H_
#define HEATHERGATE_HTTP_HEAD_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace heathergate {

/// One header field, as received.
struct HeaderField {
  std::string name;
  std::string value;
};

/// Start line and header fields of an HTTP/1.1 message.
struct HttpHead {
  /// Set for requests only.
  std::string method;
  std::string target;
  /// Set for responses only; 0 otherwise.
  int status = 0;
  std::vector<HeaderField> fields;
  /// Whether the sender keeps the connection open after this message.
  bool keep_alive = true;
  /// Whether the sender has to accept interim responses (HTTP/1.1 or later).
  bool accepts_interim = true;

  /// Value of the first field with this name, ignoring case; nullptr if there
  /// is none.
  const std::string* Find(std::string_view name) const;

  /// As Find(), but an empty string if there is none.
  std::string Value(std::string_view name) const;
};

/// Whether two header names are equal, ignoring case.
bool SameName(std::string_view a, std::string_view b);

/// Whether a field concerns only one connection and must not be forwarded.
/// `connection` is the value of the message's Connection field, or nullptr.
bool IsHopByHopField(std::string_view name, const std::string* connection);

/// The complete head of a POST request between hosts, with Content-Length.
std::string PostHead(const std::string& path,
                     const std::string& host,
                     std::size_t body_size);

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_HEAD_H_
