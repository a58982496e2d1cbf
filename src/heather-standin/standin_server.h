#ifndef HEATHER_STANDIN_STANDIN_SERVER_H_
#define HEATHER_STANDIN_STANDIN_SERVER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>

#include "libheathernet/http_server.h"

namespace heather_standin {

/// An HTTP server on its own threads that can break connections on purpose
/// and limits how many it accepts.
class StandinServer : public heathernet::HttpServer {
 public:
  struct ConnectionCounts {
    std::size_t open = 0;
    std::size_t peak = 0;
    /// Closed at once because the limit was reached.
    std::uint64_t refused = 0;
  };

  StandinServer();
  ~StandinServer() override;

  /// Listens and serves until Stop. Returns the port, which the system picks
  /// if `port` is 0. Throws StandinError if the address cannot be used.
  std::uint16_t Start(const std::string& address, std::uint16_t port);

  /// Stops listening, ends idle connections and waits for requests in
  /// progress. May be called twice.
  void Stop();

  /// Connections beyond `limit` are closed at once; 0 for no limit.
  void set_connection_limit(std::size_t limit) { connection_limit_ = limit; }

  ConnectionCounts connection_counts();

  /// Called by a handler: its connection is closed without an answer.
  static void DropAnswer();

  /// Called by a handler: its connection is closed after `bytes` bytes of the
  /// answer, head included.
  static void TruncateAnswer(std::size_t bytes);

 private:
  bool process_and_close_socket(socket_t socket) override;
  bool AddConnection(socket_t socket);
  void RemoveConnection(socket_t socket);
  void Serve(socket_t socket);

  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> connection_limit_ = 0;
  std::mutex mutex_;
  std::set<socket_t> connections_;
  ConnectionCounts counts_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_STANDIN_SERVER_H_
