#ifndef HEATHERNET_PEER_TRANSPORT_H_
#define HEATHERNET_PEER_TRANSPORT_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

#include "heathernet/peer_address.h"
#include "heathernet/peer_call.h"
#include "heathernet/peer_options.h"
#include "heathernet/peer_request.h"
#include "heathernet/peer_responder.h"
#include "heathernet/peer_result.h"
#include "heathernet/peer_stats.h"

namespace heathernet {

class EventLoop;

/// Requests to and from other entry hosts, over HTTP/2 on cleartext TCP. Used,
/// created and destroyed on the loop thread, or while the loop does not run.
class PeerTransport {
 public:
  using Handler = std::function<void(PeerRequest, PeerResponder)>;
  using Callback = std::function<void(PeerResult)>;

  /// Listens at once. Fails with kInvalidArgument if the address is no IP
  /// number, and with kUnavailable if it cannot be listened on. `loop` has to
  /// outlive the transport.
  static absl::StatusOr<std::unique_ptr<PeerTransport>> Create(
      EventLoop& loop,
      const PeerOptions& options);

  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Serves requests of peers by `handler`, which runs on the loop thread for
  /// each whole request. Requests before the first SetHandler are refused.
  void SetHandler(Handler handler);

  /// Sends a request. `callback` runs exactly once on the loop thread, never
  /// from within Call(); it does not run once the transport is destroyed.
  PeerCall Call(const PeerAddress& peer,
                PeerRequest request,
                Callback callback);

  /// Takes no new connections and requests, and lets those in progress finish.
  /// Refused requests end with kNotSent at their callers.
  void StopAccepting();

  /// Address and port listened on.
  const PeerAddress& address() const;

  const PeerStats& stats() const;

 private:
  class Impl;
  explicit PeerTransport(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl_;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_TRANSPORT_H_
