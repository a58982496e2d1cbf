#ifndef HEATHERNET_PEER_REQUEST_H_
#define HEATHERNET_PEER_REQUEST_H_

#include <string>

#include "heatherlever/instant.h"
#include "heathernet/peer_headers.h"

namespace heathernet {

/// A whole request to or from a peer; always a POST.
struct PeerRequest {
  /// Starts with '/'.
  std::string path;
  /// Without content-length and x-exchange-id, which the transport adds.
  PeerHeaders headers;
  std::string body;
  /// From Call() to the whole answer. On the receiving side, what the caller
  /// stated; time spent on the way is not taken off.
  heatherlever::Duration timeout{1'000'000};
  /// For a call whose loss is harmless: it takes an open connection however
  /// long that was silent, and does not keep it warm.
  bool background = false;
  /// Receiving side only: IP number that the request came from.
  std::string remote_ip;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_REQUEST_H_
