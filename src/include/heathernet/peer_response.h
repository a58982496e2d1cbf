#ifndef HEATHERNET_PEER_RESPONSE_H_
#define HEATHERNET_PEER_RESPONSE_H_

#include <string>

#include "heathernet/peer_headers.h"

namespace heathernet {

/// A handler's answer to a PeerRequest.
struct PeerResponse {
  /// HTTP status, 200 to 599.
  int status = 200;
  PeerHeaders headers;
  std::string body;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_RESPONSE_H_
