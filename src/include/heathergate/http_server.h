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

class HttpExchange;

/// An HTTP/1.1 server on one address, with persistent connections. If a client
/// disconnects before its response, the exchange is told.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Starts to listen; throws std::system_error if the address can't be bound.
  HttpServer(heathernet::EventLoop& loop,
             const std::string& address,
             std::uint16_t port,
             Handler handler);
  ~HttpServer();

  /// Takes effect from the next message of each connection.
  void SetLimits(const heathersteer::CallerLimits& limits);

  /// Limits the total bytes of the requests that are being read or handled. A
  /// request that exceeds it is refused with status 503 and is not executed.
  void SetMaxBufferedBytes(std::size_t bytes);

  /// Closes each connection after its next response.
  void StartLeaving();

  /// Closes the connections without a request in progress.
  void CloseIdle();

  /// Stops accepting connections.
  void StopListening();

  std::uint16_t port() const;

  /// Number of requests that are being read or handled.
  int active() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_SERVER_H_
