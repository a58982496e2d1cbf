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

/// An HTTP/1.1 server on one address. Connections stay open between requests;
/// a client that leaves before its answer is reported to the exchange.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Listens at once; throws std::system_error if the address can't be had.
  HttpServer(heathernet::EventLoop& loop,
             const std::string& address,
             std::uint16_t port,
             Handler handler);
  ~HttpServer();

  /// In force for the next message of each connection.
  void SetLimits(const heathersteer::CallerLimits& limits);

  /// Bound on the bytes of all requests that are being read or answered; a
  /// request beyond it is refused as not run.
  void SetMaxBufferedBytes(std::size_t bytes);

  /// From now on each response ends its connection.
  void StartLeaving();

  /// Closes the connections on which no request is being read or answered.
  void CloseIdle();

  /// Accepts no further connections.
  void StopListening();

  std::uint16_t port() const;

  /// Requests that are being read or answered.
  int active() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_HTTP_SERVER_H_
