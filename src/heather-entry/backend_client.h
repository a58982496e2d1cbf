#ifndef HEATHER_ENTRY_BACKEND_CLIENT_H_
#define HEATHER_ENTRY_BACKEND_CLIENT_H_

#include <functional>
#include <memory>

#include "heatherlever/instant.h"

namespace heather_entry {

struct BackendCall;
struct BackendReply;

/// Sends requests to backend servers over HTTP/1.1 on its own threads. Every
/// answer is checked for its length and for the echoed exchange id. A
/// connection on which anything went wrong is not used again.
class BackendClient {
 public:
  using Callback = std::function<void(BackendReply)>;

  /// `threads` requests run at the same time. Non-idempotent work takes an
  /// open connection only if that answered within `connection_doubt`.
  BackendClient(int threads, heatherlever::Duration connection_doubt);

  /// Waits for the requests that run.
  ~BackendClient();

  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// Sends a request. `callback` runs once, on one of the client's threads.
  void Send(BackendCall call, Callback callback);

  /// Asks the server to stop a request that was sent to it. `callback` gets
  /// kCancelled if the server confirms that it was stopped before its effect,
  /// kError if it says that the request has ended, kFailed otherwise.
  void Cancel(BackendCall call, Callback callback);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_BACKEND_CLIENT_H_
