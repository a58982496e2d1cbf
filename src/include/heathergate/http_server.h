#ifndef HEATHERGATE_HTTP_SERVER_H_
#define HEATHERGATE_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "heathersteer/traffic_config.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class BufferBudget;
class HttpExchange;
class PauseMonitor;
struct ListenAddress;

/// An HTTP/1.1 server on one address, with persistent connections. If a client
/// disconnects before its response, the exchange is told. If the address is not
/// available, the server retries until it is bound.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Throws std::system_error if the address is not an IP address.
  HttpServer(heathernet::EventLoop& loop,
             const ListenAddress& address,
             Handler handler);
  ~HttpServer();

  /// Takes effect from the next message of each connection.
  void SetLimits(const heathersteer::CallerLimits& limits);

  /// Sets the budget that counts requests and responses, before the first
  /// connection. A request that exceeds it is refused with status 503 and is
  /// not executed.
  void SetBufferBudget(std::shared_ptr<BufferBudget> buffers);

  /// Sets the monitor by which requests that waited while the event loop was
  /// paused count as received when they arrived.
  void SetPauseMonitor(std::shared_ptr<PauseMonitor> pauses);

  /// Closes each connection after its next response.
  void StartLeaving();

  /// Ends the connections without a request in progress, once what has
  /// arrived on them is read.
  void CloseIdle();

  /// Accepts the connections that the kernel has established, then no more.
  void StopListening();

  /// Whether the address is bound and connections are accepted.
  bool listening() const;

  /// Sets a function that is called when the server listens, if it does not
  /// yet.
  void OnListening(std::function<void()> function);

  /// The port that is bound; 0 while there is none.
  std::uint16_t port() const;

  const std::string& purpose() const;

  /// Number of requests that are being read or handled.
  int active() const;

  /// Number of connections, with those that are being closed.
  int connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_SERVER_H_
