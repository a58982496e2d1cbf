#ifndef HEATHERGATE_HTTP_RESPONSE_H_
#define HEATHERGATE_HTTP_RESPONSE_H_

#include <string>
#include <vector>

#include "heathergate/http_head.h"

namespace heathergate {

/// A whole response. Content-Length and Connection are added when it is sent.
struct HttpResponse {
  /// A response without fields of its own.
  static HttpResponse Of(int status, std::string body = {});

  int status = 200;
  std::vector<HeaderField> fields;
  std::string body;
  /// Whether the connection ends with this response.
  bool close = false;
};

/// The usual phrase of a status code.
const char* ReasonPhrase(int status);

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_RESPONSE_H_
