#ifndef HEATHERGATE_HTTP_CLIENT_H_
#define HEATHERGATE_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "heathergate/http_call.h"
#include "heatherlever/instant.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class HttpConnection;

/// Where a call goes.
struct HttpPeer {
  /// Connections are kept by this name: one life of one peer.
  std::string name;
  std::string address;
  std::uint16_t port = 0;
};

/// What limits a client's connections.
struct HttpClientOptions {
  heatherlever::Duration connect_timeout = std::chrono::milliseconds(300);
  /// Time for sent bytes to be acknowledged by the peer's kernel.
  heatherlever::Duration ack_timeout = std::chrono::milliseconds(700);
  /// Idle time after which a kept connection is not used again.
  heatherlever::Duration idle_timeout = std::chrono::seconds(5);
  /// Idle connections kept for one peer.
  std::size_t max_idle_connections = 16;
  /// Name of the header that a response echoes from its request; empty if none.
  std::string echo_header;
  std::uint64_t max_body_bytes = 16ULL << 20;
};

/// An HTTP/1.1 client with kept connections, one request at a time on each.
class HttpClient {
 public:
  HttpClient(heathernet::EventLoop& loop, HttpClientOptions options);
  ~HttpClient();

  /// Sends a request: `head` is the whole head, up to the empty line. `echo` is
  /// the value of the echoed header. `done` is not called after Cancel().
  std::shared_ptr<HttpCall> Send(const HttpPeer& peer,
                                 std::string head,
                                 const std::string& body,
                                 const std::string& echo,
                                 HttpCall::Done done);

  /// Closes the idle connections of a peer that is gone.
  void CloseIdle(const std::string& peer_name);

  /// Connections opened since the start.
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
