#ifndef HEATHERNET_PEER_CALL_STATE_H_
#define HEATHERNET_PEER_CALL_STATE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "heathernet/peer_call.h"
#include "heathernet/peer_transport.h"
#include "heathernet/timer_handle.h"

namespace heathernet {

class PeerClientConnection;
struct PeerContext;

/// One call. Owned by its stream.
struct PeerCall::State {
  std::shared_ptr<PeerContext> context;
  /// Empty once the call has ended.
  PeerTransport::Callback callback;
  std::weak_ptr<PeerClientConnection> connection;
  std::int32_t stream = 0;
  TimerHandle deadline;

  /// Counts the result and posts the callback. No effect when ended.
  void Finish(PeerResult result);
  /// Ends the call without an answer.
  void Finish(PeerOutcome outcome, std::string detail);
  /// Resets the call's stream, which ends the call.
  void Abort(const std::string& detail);
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_CALL_STATE_H_
