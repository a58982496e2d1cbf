#include "libheathergate/connection_trial.h"

#include <asio/ip/tcp.hpp>
#include <utility>

#include "heathernet/event_loop.h"
#include "libheathergate/socket_options.h"
#include "libheathernet/event_loop_impl.h"

namespace heathergate {

struct ConnectionTrial::Attempt {
  explicit Attempt(heathernet::EventLoop& loop)
      : socket(loop.impl()->context) {}
  asio::ip::tcp::socket socket;
  bool cancelled = false;
};

ConnectionTrial::ConnectionTrial(heathernet::EventLoop& loop)
    : loop_(loop), timer_(loop) {}

ConnectionTrial::~ConnectionTrial() {
  done_ = nullptr;
  Finish(false);
}

void ConnectionTrial::Start(const std::vector<HttpPeer>& peers,
                            heatherlever::Duration timeout,
                            Done done) {
  Finish(false);
  done_ = std::move(done);
  failed_ = 0;
  timer_.Start(timeout, [this] { Finish(false); });
  for (const HttpPeer& peer : peers) {
    std::error_code error;
    const auto address = asio::ip::make_address(peer.address, error);
    if (error) {
      continue;
    }
    const asio::ip::tcp::endpoint endpoint(address, peer.port);
    const auto attempt = std::make_shared<Attempt>(loop_);
    OpenClientSocket(attempt->socket, endpoint, error);
    if (error) {
      continue;
    }
    attempts_.push_back(attempt);
    attempt->socket.async_connect(
        endpoint, [this, attempt](std::error_code result) {
          if (attempt->cancelled) {
            return;
          }
          if (result || ConnectedToItself(attempt->socket)) {
            OnFailed();
          } else {
            Finish(true);
          }
        });
  }
}

void ConnectionTrial::OnFailed() {
  if (++failed_ == attempts_.size()) {
    Finish(false);
  }
}

void ConnectionTrial::Finish(bool any_connected) {
  timer_.Cancel();
  for (const auto& attempt : std::exchange(attempts_, {})) {
    attempt->cancelled = true;
    std::error_code ignored;  // NOLINT: the connection is dropped either way.
    attempt->socket.close(ignored);
  }
  if (const Done done = std::exchange(done_, nullptr)) {
    done(any_connected);
  }
}

}  // namespace heathergate
