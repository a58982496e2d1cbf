#ifndef HEATHERNET_PEER_RESPONDER_H_
#define HEATHERNET_PEER_RESPONDER_H_

#include <functional>
#include <memory>

#include "heathernet/peer_response.h"

namespace heathernet {

/// Answers one request from a peer. Copies refer to the same request; if the
/// last one is dropped without an answer, the peer gets status 500. May outlive
/// the transport and its loop.
class PeerResponder {
 public:
  struct State;

  explicit PeerResponder(std::shared_ptr<State> state);

  /// Sends the answer; callable once, from any thread. Returns false, and sends
  /// nothing, if an answer was given before. An answer to a cancelled request
  /// is dropped.
  bool Respond(PeerResponse response) const;

  /// True once the caller cancelled, timed out or lost its connection. Callable
  /// from any thread.
  bool cancelled() const;

  /// Runs `function` on the loop thread when the request is cancelled, at once
  /// if it is already. Not run after an answer was sent whole. Replaces an
  /// earlier function. Called on the loop thread.
  void OnCancel(std::function<void()> function) const;

 private:
  std::shared_ptr<State> state_;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_RESPONDER_H_
