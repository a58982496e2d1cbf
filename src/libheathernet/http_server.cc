#include "libheathernet/http_server.h"

#include <sys/socket.h>

#include <chrono>
#include <stdexcept>

#include "libheathernet/connection_threads.h"

namespace heathernet {
namespace {

constexpr int kListenBacklog = 1024;
constexpr auto kStartPollInterval = std::chrono::milliseconds(1);

}  // namespace

HttpServer::HttpServer(std::size_t max_connections) {
  new_task_queue = [max_connections] {
    return new ConnectionThreads(max_connections);
  };
}

HttpServer::~HttpServer() {
  stop();
  JoinListener();
}

void HttpServer::JoinListener() {
  if (listener_.joinable()) {
    listener_.join();
  }
}

std::uint16_t HttpServer::Start(const std::string& address,
                                std::uint16_t port) {
  int bound = port;
  if (port == 0) {
    bound = bind_to_any_port(address);
  } else if (!bind_to_port(address, port)) {
    bound = -1;
  }
  if (bound <= 0) {
    throw std::runtime_error("cannot listen on " + address + ":" +
                             std::to_string(port));
  }
  // The library listens with a backlog of 5, which drops bursts.
  ::listen(svr_sock_, kListenBacklog);
  listener_ = std::thread([this] { listen_after_bind(); });
  while (!is_running()) {
    std::this_thread::sleep_for(kStartPollInterval);
  }
  return static_cast<std::uint16_t>(bound);
}

}  // namespace heathernet
