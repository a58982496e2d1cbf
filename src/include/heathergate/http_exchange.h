#ifndef HEATHERGATE_HTTP_EXCHANGE_H_
#define HEATHERGATE_HTTP_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "heathergate/http_head.h"
#include "heathergate/http_response.h"
#include "heatherlever/instant.h"

namespace heathergate {

/// A request that a server has read completely, and the means to respond to
/// it.
class HttpExchange {
 public:
  using Reply = std::function<void(HttpResponse)>;

  HttpExchange(HttpHead head,
               std::string body,
               heatherlever::Instant received,
               Reply reply)
      : head_(std::move(head)),
        body_(std::make_shared<const std::string>(std::move(body))),
        received_(received),
        reply_(std::move(reply)) {}

  const HttpHead& head() const { return head_; }
  const std::string& body() const { return *body_; }
  /// The body, to be sent on without a copy.
  const std::shared_ptr<const std::string>& shared_body() const {
    return body_;
  }
  heatherlever::Instant received() const { return received_; }

  /// Sends the response. Ignored after the first call, or if the client has
  /// disconnected.
  void Respond(HttpResponse response);

  /// Sets a function that is called at most once, if the client disconnects
  /// before the response.
  void OnAbandoned(std::function<void()> function) {
    on_abandoned_ = std::move(function);
  }

  /// Called by the connection when the client has disconnected.
  void Abandon();

  /// Sets a function that calls Abandon() if the client has disconnected and
  /// the event loop has not handled that yet. It returns whether the client is
  /// known to wait.
  void SetClientCheck(std::function<bool()> check) {
    check_client_ = std::move(check);
  }

  /// Returns whether a response is still expected. Finds a disconnected client
  /// at once, with a system call. If it returns false and the exchange is not
  /// done, the connection is still finding out: ask again later.
  bool CheckClient();

  bool done() const { return done_; }

 private:
  HttpHead head_;
  std::shared_ptr<const std::string> body_;
  heatherlever::Instant received_;
  Reply reply_;
  std::function<void()> on_abandoned_;
  std::function<bool()> check_client_;
  bool done_ = false;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_EXCHANGE_H_
