#include "heather-standin/standin_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>

#include "heather-standin/socket_stream.h"
#include "heather-standin/standin_error.h"

namespace heather_standin {
namespace {

constexpr std::size_t kMaxConnections = 20'000;
constexpr int kIdleConnectionTimeoutSeconds = 600;
constexpr std::size_t kRequestsPerConnection = 1'000'000;

// The connection whose request the current thread handles. httplib hands no
// connection to its handlers.
thread_local SocketStream* current_stream = nullptr;

void SetNoDelay(socket_t socket) {
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

StandinServer::StandinServer() : HttpServer(kMaxConnections) {
  set_keep_alive_timeout(kIdleConnectionTimeoutSeconds);
  set_keep_alive_max_count(kRequestsPerConnection);
}

StandinServer::~StandinServer() {
  Stop();
}

std::uint16_t StandinServer::Start(const std::string& address,
                                   std::uint16_t port) {
  try {
    return HttpServer::Start(address, port);
  } catch (const std::runtime_error& error) {
    throw StandinError(error.what());
  }
}

void StandinServer::Stop() {
  if (!started()) {
    return;
  }
  stopping_ = true;
  stop();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const socket_t connection : connections_) {
      ::shutdown(connection, SHUT_RD);
    }
  }
  JoinListener();
}

StandinServer::ConnectionCounts StandinServer::connection_counts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ConnectionCounts counts = counts_;
  counts.open = connections_.size();
  return counts;
}

void StandinServer::DropAnswer() {
  current_stream->Drop();
}

void StandinServer::TruncateAnswer(std::size_t bytes) {
  current_stream->DropAfter(bytes);
}

bool StandinServer::process_and_close_socket(socket_t socket) {
  if (AddConnection(socket)) {
    Serve(socket);
    RemoveConnection(socket);
  }
  ::shutdown(socket, SHUT_RDWR);
  ::close(socket);
  return true;
}

bool StandinServer::AddConnection(socket_t socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::size_t limit = connection_limit_;
  if (stopping_ || (limit != 0 && connections_.size() >= limit)) {
    ++counts_.refused;
    return false;
  }
  connections_.insert(socket);
  counts_.peak = std::max(counts_.peak, connections_.size());
  return true;
}

void StandinServer::RemoveConnection(socket_t socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(socket);
}

void StandinServer::Serve(socket_t socket) {
  SetNoDelay(socket);
  SocketStream stream(socket);
  current_stream = &stream;
  while (!stopping_ &&
         stream.WaitForInput(kIdleConnectionTimeoutSeconds * 1'000)) {
    bool connection_closed = false;
    if (!process_request(stream, false, connection_closed, nullptr) ||
        connection_closed || stream.dropped()) {
      break;
    }
  }
  current_stream = nullptr;
}

}  // namespace heather_standin
