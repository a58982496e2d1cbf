#include "heathergate/http_server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "heathergate/buffer_budget.h"
#include "heathergate/http_exchange.h"
#include "heathergate/listen_address.h"
#include "heathergate/pause_monitor.h"
#include "heathergate/timer.h"
#include "heathernet/event_loop.h"
#include "heathersteer/milliseconds.h"
#include "libheathergate/http_session.h"
#include "libheathergate/socket_options.h"
#include "libheathernet/event_loop_impl.h"

namespace heathergate {
namespace {

using asio::ip::tcp;
using heathernet::EventLoop;

// Limits of the budget of a server that was given none.
constexpr std::size_t kDefaultMaxBufferedBytes = 48 << 20;
constexpr std::size_t kDefaultMaxRequestBytes = 32 << 20;
// Delay after a failed accept, which is mostly caused by a lack of file
// descriptors.
constexpr heatherlever::Duration kAcceptRetryDelay =
    std::chrono::milliseconds(50);
// Interval between tries to bind an address that is not available.
constexpr heatherlever::Duration kListenRetryInterval =
    std::chrono::milliseconds(100);

}  // namespace

class HttpServer::Impl : public SessionOwner,
                         public std::enable_shared_from_this<Impl> {
 public:
  Impl(EventLoop& loop, const ListenAddress& address, Handler handler)
      : loop_(loop),
        purpose_(address.purpose),
        first_(asio::ip::make_address(address.address), address.port),
        last_port_(std::max(address.port, address.last_port)),
        acceptor_(loop.impl()->context),
        listen_retry_timer_(loop),
        accept_retry_timer_(loop),
        handler_(std::move(handler)),
        created_at_(EventLoop::Now()) {}

  // Another process may hold the address for a while: one that is about to end,
  // or one whose outgoing connection got the port from the kernel.
  void Listen() {
    std::error_code error;
    tcp::endpoint endpoint = first_;
    for (int port = first_.port(); port <= last_port_; ++port) {
      endpoint.port(static_cast<std::uint16_t>(port));
      error = ListenAt(endpoint);
      if (!error) {
        break;
      }
    }
    if (error) {
      OnListenFailed(error);
      return;
    }
    if (listen_failed_) {
      spdlog::info("{}: listening at {}:{} after {} ms", purpose_,
                   endpoint.address().to_string(), port(),
                   heathersteer::Milliseconds(EventLoop::Now() - created_at_));
    }
    Accept();
    if (const auto on_listening = std::exchange(on_listening_, nullptr)) {
      on_listening();
    }
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](std::error_code error, tcp::socket socket) {
          self->OnAccept(error, std::move(socket));
        });
  }

  void Shutdown() {
    shut_down_ = true;
    CloseAcceptor();
    const auto sessions = std::exchange(sessions_, {});
    for (const auto& session : sessions) {
      session->Close();
    }
  }

  // Closing the acceptor resets the connections that were not accepted.
  void StopListening() {
    listen_retry_timer_.Cancel();
    if (!acceptor_.is_open()) {
      return;
    }
    DropNewConnections(acceptor_);
    std::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(loop_.impl()->context);
      acceptor_.accept(socket, error);
      if (!error) {
        AddSession(std::move(socket));
      }
    }
    // After another error, the next call tries again.
    if (error == asio::error::would_block) {
      CloseAcceptor();
    }
  }

  void CloseIdle() {
    const std::vector<std::shared_ptr<HttpSession>> sessions(sessions_.begin(),
                                                             sessions_.end());
    for (const auto& session : sessions) {
      session->CloseIfIdle();
    }
  }

  int active() const {
    int count = 0;
    for (const auto& session : sessions_) {
      count += session->busy() ? 1 : 0;
    }
    return count;
  }

  bool listening() const { return acceptor_.is_open(); }
  void set_on_listening(std::function<void()> function) {
    on_listening_ = std::move(function);
  }
  std::uint16_t port() const {
    std::error_code error;
    const tcp::endpoint endpoint = acceptor_.local_endpoint(error);
    return error ? std::uint16_t{0} : endpoint.port();
  }
  const std::string& purpose() const { return purpose_; }
  int connections() const { return static_cast<int>(sessions_.size()); }
  void set_limits(const heathersteer::CallerLimits& limits) {
    limits_ = limits;
  }
  void set_leaving() { leaving_ = true; }
  void set_buffers(std::shared_ptr<BufferBudget> buffers) {
    buffers_ = std::move(buffers);
  }
  void set_pauses(std::shared_ptr<PauseMonitor> pauses) {
    pauses_ = std::move(pauses);
  }

  const heathersteer::CallerLimits& limits() const override { return limits_; }
  bool leaving() const override { return leaving_; }
  const std::shared_ptr<BufferBudget>& buffers() const override {
    return buffers_;
  }
  PauseMonitor* pauses() const override { return pauses_.get(); }
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    handler_(std::move(exchange));
  }
  void Remove(const std::shared_ptr<HttpSession>& session) override {
    sessions_.erase(session);
  }

 private:
  std::error_code ListenAt(const tcp::endpoint& endpoint) {
    std::error_code error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
      std::error_code ignored;  // NOLINT: the first error is reported.
      acceptor_.close(ignored);
    }
    return error;
  }

  void OnListenFailed(const std::error_code& error) {
    if (!std::exchange(listen_failed_, true)) {
      spdlog::warn("{}: can't listen at {}:{}, tried again: {}", purpose_,
                   first_.address().to_string(), first_.port(),
                   error.message());
    }
    listen_retry_timer_.Start(kListenRetryInterval, [this] { Listen(); });
  }

  void OnAccept(std::error_code error, tcp::socket socket) {
    if (shut_down_) {
      return;
    }
    if (!error) {
      AddSession(std::move(socket));
    }
    if (!acceptor_.is_open()) {
      return;
    }
    if (error) {
      accept_retry_timer_.Start(kAcceptRetryDelay, [this] { Accept(); });
      return;
    }
    Accept();
  }

  void AddSession(tcp::socket socket) {
    const auto session =
        std::make_shared<HttpSession>(*this, loop_, std::move(socket));
    sessions_.insert(session);
    session->Start();
  }

  void CloseAcceptor() {
    std::error_code ignored;  // NOLINT: closing twice is harmless.
    acceptor_.close(ignored);
    listen_retry_timer_.Cancel();
    accept_retry_timer_.Cancel();
  }

  EventLoop& loop_;
  std::string purpose_;
  tcp::endpoint first_;
  std::uint16_t last_port_;
  tcp::acceptor acceptor_;
  Timer listen_retry_timer_;
  Timer accept_retry_timer_;
  Handler handler_;
  std::function<void()> on_listening_;
  heatherlever::Instant created_at_;
  bool listen_failed_ = false;
  heathersteer::CallerLimits limits_;
  std::set<std::shared_ptr<HttpSession>> sessions_;
  std::shared_ptr<BufferBudget> buffers_ =
      std::make_shared<BufferBudget>(kDefaultMaxBufferedBytes,
                                     kDefaultMaxRequestBytes);
  std::shared_ptr<PauseMonitor> pauses_;
  bool leaving_ = false;
  bool shut_down_ = false;
};

HttpServer::HttpServer(EventLoop& loop,
                       const ListenAddress& address,
                       Handler handler)
    : impl_(std::make_shared<Impl>(loop, address, std::move(handler))) {
  impl_->Listen();
}

HttpServer::~HttpServer() {
  impl_->Shutdown();
}

void HttpServer::SetLimits(const heathersteer::CallerLimits& limits) {
  impl_->set_limits(limits);
}

void HttpServer::SetBufferBudget(std::shared_ptr<BufferBudget> buffers) {
  impl_->set_buffers(std::move(buffers));
}

void HttpServer::SetPauseMonitor(std::shared_ptr<PauseMonitor> pauses) {
  impl_->set_pauses(std::move(pauses));
}

void HttpServer::StartLeaving() {
  impl_->set_leaving();
}

void HttpServer::CloseIdle() {
  impl_->CloseIdle();
}

void HttpServer::StopListening() {
  impl_->StopListening();
}

bool HttpServer::listening() const {
  return impl_->listening();
}

void HttpServer::OnListening(std::function<void()> function) {
  impl_->set_on_listening(std::move(function));
}

const std::string& HttpServer::purpose() const {
  return impl_->purpose();
}

std::uint16_t HttpServer::port() const {
  return impl_->port();
}

int HttpServer::active() const {
  return impl_->active();
}

int HttpServer::connections() const {
  return impl_->connections();
}

}  // namespace heathergate
