#ifndef HEATHERGATE_HTTP_CALL_H_
#define HEATHERGATE_HTTP_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "heathergate/http_head.h"

namespace heathergate {

class HttpConnection;

/// Outcome of a call.
enum class CallOutcome {
  /// A complete, well-formed response was received.
  kAnswered,
  /// No byte of the request was written.
  kNotSent,
  /// The request may have reached the peer, but no complete response was
  /// received.
  kBroken,
};

/// Result of a call.
struct CallResult {
  CallOutcome outcome = CallOutcome::kNotSent;
  HttpHead head;
  std::string body;
  /// Whether the call failed because the peer ended the connection.
  bool ended_by_peer = false;
  /// Whether the peer could not be connected to, or its kernel stopped
  /// acknowledging.
  bool unreachable = false;
  /// Whether the caller of HttpClient::Send() had no head for it any more.
  bool withdrawn = false;
  /// Error text for logs; empty unless the call failed.
  std::string error;
};

/// A call in progress.
class HttpCall {
 public:
  using Done = std::function<void(CallResult)>;

  explicit HttpCall(Done done) : done_(std::move(done)) {}

  /// Closes the call's connection; `done` is not called.
  void Cancel();

  /// Whether the call has neither ended nor been cancelled.
  bool active() const { return done_ != nullptr; }

  /// Whether a byte of the request has been written.
  bool sent() const { return sent_; }

  /// Whether the call was given a connection that had carried earlier calls.
  bool reused_connection() const { return reused_connection_; }

  /// Number of bytes received on the connection since the call was sent.
  std::uint64_t received_bytes() const { return received_bytes_; }

 private:
  friend class HttpConnection;

  void Finish(CallResult result);

  Done done_;
  std::shared_ptr<HttpConnection> connection_;
  bool sent_ = false;
  bool reused_connection_ = false;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_CALL_H_
