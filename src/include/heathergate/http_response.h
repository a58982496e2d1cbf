#ifndef HEATHERGATE_HTTP_RESPONSE_H_
#define HEATHERGATE_HTTP_RESPONSE_H_

#include <optional>
#include <string>
#include <vector>

#include "heathergate/http_head.h"

namespace heathergate {

/// A complete response. Content-Length and Connection are added when it is
/// sent.
struct HttpResponse {
  /// Creates a response without header fields.
  static HttpResponse Of(int status, std::string body = {});

  int status = 200;
  std::vector<HeaderField> fields;
  std::string body;
  /// Content-Length of a response to a HEAD request, empty for none; the
  /// body's if it isn't set.
  std::optional<std::string> head_length;
  /// Whether the connection is closed after this response.
  bool close = false;
};

/// The standard reason phrase of a status code; "Status" if it is unknown.
const char* ReasonPhrase(int status);

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_RESPONSE_H_
