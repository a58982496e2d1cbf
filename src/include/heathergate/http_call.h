#ifndef HEATHERGATE_HTTP_CALL_H_
#define HEATHERGATE_HTTP_CALL_H_

#include <functional>
#include <memory>
#include <string>

#include "heathergate/http_head.h"

namespace heathergate {

class HttpConnection;

/// How a call ended.
enum class CallOutcome {
  /// A whole, well-formed response came.
  kAnswered,
  /// Not one byte of the request was written.
  kNotSent,
  /// The request may have reached the peer, and no whole response came.
  kBroken,
};

/// The end of a call.
struct CallResult {
  CallOutcome outcome = CallOutcome::kNotSent;
  HttpHead head;
  std::string body;
  /// What failed, for logs.
  std::string error;
};

/// A call that is on its way.
class HttpCall {
 public:
  using Done = std::function<void(CallResult)>;

  explicit HttpCall(Done done) : done_(std::move(done)) {}

  /// Closes the call's connection; its end is not reported.
  void Cancel();

  /// Whether a byte of the request has been written.
  bool sent() const { return sent_; }

 private:
  friend class HttpConnection;

  void Finish(CallResult result);

  Done done_;
  std::shared_ptr<HttpConnection> connection_;
  bool sent_ = false;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_CALL_H_
