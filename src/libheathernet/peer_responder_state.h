#ifndef HEATHERNET_PEER_RESPONDER_STATE_H_
#define HEATHERNET_PEER_RESPONDER_STATE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "event_loop_impl.h"
#include "heathernet/peer_responder.h"

namespace heathernet {

class PeerServerConnection;

/// What the copies of a responder share. Its stream holds a weak pointer to it.
struct PeerResponder::State {
  ~State();

  std::weak_ptr<EventLoop::Impl> loop;
  std::weak_ptr<PeerServerConnection> connection;
  std::int32_t stream = 0;
  std::atomic<bool> answered = false;
  std::atomic<bool> cancelled = false;
  /// Touched on the loop thread only.
  std::function<void()> on_cancel;

  /// Posts the answer to the loop. Returns false if there was one before.
  bool Answer(PeerResponse response);
  /// Tells the handler that no answer is wanted any more.
  void Cancel();
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_RESPONDER_STATE_H_
