#ifndef HEATHERGATE_HTTP_CLIENT_H_
#define HEATHERGATE_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "heathergate/http_call.h"
#include "heatherlever/instant.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class BufferBudget;
class HttpConnection;

/// Destination of a call.
struct HttpPeer {
  /// Key under which idle connections are pooled; it identifies one
  /// incarnation of one peer.
  std::string name;
  std::string address;
  std::uint16_t port = 0;
};

/// Makes the complete head of a request, including the empty line, when it is
/// written; std::nullopt if the request is not to be sent any more.
using HeadMaker = std::function<std::optional<std::string>()>;

/// How a call tells the response to its request from other bytes.
struct ResponseCheck {
  /// Value of the header that the response echoes; empty for none.
  std::string echo;
  /// Complete head of a request without a body and without effects. If a
  /// response on a reused connection echoes nothing, it may belong to an
  /// earlier request: it counts as this one's only after the peer has answered
  /// this further request on the connection. Empty to trust such responses.
  std::string barrier_head;
};

/// Timeouts and limits of a client's connections.
struct HttpClientOptions {
  heatherlever::Duration connect_timeout = std::chrono::milliseconds(300);
  /// Time within which the peer's kernel has to acknowledge sent bytes.
  heatherlever::Duration ack_timeout = std::chrono::milliseconds(700);
  /// Idle time after which a pooled connection is not reused.
  heatherlever::Duration idle_timeout = std::chrono::seconds(5);
  /// Maximum number of idle connections per peer.
  std::size_t max_idle_connections = 16;
  /// Name of the header that responses echo from their requests; empty if
  /// there is none.
  std::string echo_header;
  std::uint64_t max_body_bytes = 16ULL << 20;
  /// Counts the responses that are being read; nullptr for no common limit.
  std::shared_ptr<BufferBudget> buffers;
};

/// An HTTP/1.1 client with a pool of persistent connections; each carries one
/// request at a time.
class HttpClient {
 public:
  HttpClient(heathernet::EventLoop& loop, HttpClientOptions options);
  ~HttpClient();

  /// Sends a request. `head` is the complete head, including the empty line;
  /// `echo` is the value of the echoed header. `done` is called after Send()
  /// has returned, whatever the result; it is not called after Cancel().
  std::shared_ptr<HttpCall> Send(const HttpPeer& peer,
                                 std::string head,
                                 const std::string& body,
                                 const std::string& echo,
                                 HttpCall::Done done);

  /// As above, without a copy of the body, which is kept until it is written.
  std::shared_ptr<HttpCall> Send(const HttpPeer& peer,
                                 std::string head,
                                 std::shared_ptr<const std::string> body,
                                 const std::string& echo,
                                 HttpCall::Done done);

  /// As above, with a head that is made when a connection is available. If
  /// there is none any more, the call ends as CallOutcome::kNotSent. `method`
  /// is the one in the head.
  std::shared_ptr<HttpCall> Send(const HttpPeer& peer,
                                 const std::string& method,
                                 HeadMaker make_head,
                                 std::shared_ptr<const std::string> body,
                                 ResponseCheck check,
                                 HttpCall::Done done);

  /// Closes the idle connections of a peer.
  void CloseIdle(const std::string& peer_name);

  /// Connection attempts since the client was created.
  std::uint64_t opened() const { return opened_; }

 private:
  friend class HttpConnection;

  void AddIdle(const std::shared_ptr<HttpConnection>& connection);
  void RemoveIdle(const std::shared_ptr<HttpConnection>& connection);
  std::shared_ptr<HttpConnection> TakeIdle(const std::string& peer_name);

  heathernet::EventLoop& loop_;
  HttpClientOptions options_;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_CLIENT_H_
