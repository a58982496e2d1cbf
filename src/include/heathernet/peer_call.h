#ifndef HEATHERNET_PEER_CALL_H_
#define HEATHERNET_PEER_CALL_H_

#include <memory>

namespace heathernet {

/// A call in progress, to cancel it. A dropped handle leaves the call running.
/// Used on the loop thread only; may outlive the transport.
class PeerCall {
 public:
  struct State;

  /// A handle of no call.
  PeerCall() = default;
  explicit PeerCall(std::weak_ptr<State> state);

  /// Ends the call and tells the peer. Its callback runs soon, with kNotSent or
  /// kUnknown. No effect on a call that has ended.
  void Cancel();

 private:
  std::weak_ptr<State> state_;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_CALL_H_
