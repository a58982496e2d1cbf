#ifndef HEATHERNET_PEER_OPTIONS_H_
#define HEATHERNET_PEER_OPTIONS_H_

#include <cstdint>
#include <string>

#include "heathernet/peer_limits.h"

namespace heathernet {

/// How a PeerTransport is set up.
struct PeerOptions {
  /// IP number to listen on, and to connect from.
  std::string address = "127.0.0.1";
  /// TCP port to listen on; 0 takes a free one.
  std::uint16_t port = 0;
  PeerLimits limits;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_OPTIONS_H_
