#ifndef LIBHEATHERNET_HTTP_SERVER_H_
#define LIBHEATHERNET_HTTP_SERVER_H_

#include <httplib.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace heathernet {

/// A cpp-httplib server that serves each connection on a thread of its own and
/// takes bursts of new connections, which the library's own settings drop.
class HttpServer : public httplib::Server {
 public:
  /// `max_connections` are served at a time; further ones wait.
  explicit HttpServer(std::size_t max_connections);

  /// Stops and waits for the requests in progress.
  ~HttpServer() override;

  /// Serves on a thread of its own from now on, and returns the port; port 0
  /// takes a free one. Throws std::runtime_error if it cannot be listened on.
  std::uint16_t Start(const std::string& address, std::uint16_t port);

 protected:
  /// Whether Start() succeeded and JoinListener() was not called since.
  bool started() const { return listener_.joinable(); }

  /// Waits until the server has stopped; to be called after stop().
  void JoinListener();

 private:
  std::thread listener_;
};

}  // namespace heathernet

#endif  // LIBHEATHERNET_HTTP_SERVER_H_
