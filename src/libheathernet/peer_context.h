#ifndef HEATHERNET_PEER_CONTEXT_H_
#define HEATHERNET_PEER_CONTEXT_H_

#include <cstddef>

#include "heathernet/event_loop.h"
#include "heathernet/peer_limits.h"
#include "heathernet/peer_stats.h"
#include "heathernet/peer_transport.h"

namespace heathernet {

/// What the connections of one PeerTransport share. Touched on the loop thread
/// only.
struct PeerContext {
  PeerContext(EventLoop& event_loop, const PeerLimits& peer_limits)
      : loop(event_loop), limits(peer_limits) {}

  EventLoop& loop;
  PeerLimits limits;
  PeerStats stats;
  /// Empty before SetHandler and once the transport is destroyed.
  PeerTransport::Handler handler;
  /// False once the transport is destroyed: no callback runs any more.
  bool open = true;
  /// False after StopAccepting().
  bool accepting = true;
  /// Body bytes of requests that are still arriving.
  std::size_t buffered_request_bytes = 0;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_CONTEXT_H_
