#ifndef HEATHERGATE_HTTP_EXCHANGE_H_
#define HEATHERGATE_HTTP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "heathergate/http_head.h"
#include "heathergate/http_response.h"
#include "heatherlever/instant.h"

namespace heathergate {

/// One request that a server has read whole, and the way back for its answer.
class HttpExchange {
 public:
  using Reply = std::function<void(HttpResponse)>;

  HttpExchange(HttpHead head,
               std::string body,
               heatherlever::Instant received,
               Reply reply)
      : head_(std::move(head)),
        body_(std::move(body)),
        received_(received),
        reply_(std::move(reply)) {}

  const HttpHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  heatherlever::Instant received() const { return received_; }

  /// Sends the answer. Only the first call counts, and none after the client
  /// has left.
  void Respond(HttpResponse response);

  /// Called at most once, if the client leaves before the answer.
  void OnAbandoned(std::function<void()> function) {
    on_abandoned_ = std::move(function);
  }

  /// For the connection: the client has left.
  void Abandon();

  bool done() const { return done_; }

 private:
  HttpHead head_;
  std::string body_;
  heatherlever::Instant received_;
  Reply reply_;
  std::function<void()> on_abandoned_;
  bool done_ = false;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_EXCHANGE_H_
