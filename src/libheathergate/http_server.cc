#include "heathergate/http_server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "heathergate/http_exchange.h"
#include "heathergate/timer.h"
#include "heathernet/event_loop.h"
#include "libheathergate/http_session.h"
#include "libheathernet/event_loop_impl.h"

namespace heathergate {
namespace {

using asio::ip::tcp;
using heathernet::EventLoop;

// Bound on buffered requests where the memory of the host is not known.
constexpr std::size_t kDefaultMaxBufferedBytes = 32 << 20;
// Pause after a failed accept, which mostly means a lack of descriptors.
constexpr heatherlever::Duration kAcceptRetryDelay =
    std::chrono::milliseconds(50);

}  // namespace

class HttpServer::Impl : public SessionOwner,
                         public std::enable_shared_from_this<Impl> {
 public:
  Impl(EventLoop& loop,
       const std::string& address,
       std::uint16_t port,
       Handler handler)
      : loop_(loop),
        acceptor_(loop.impl()->context,
                  {asio::ip::make_address(address), port}),
        accept_retry_timer_(loop),
        handler_(std::move(handler)) {}

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](std::error_code error, tcp::socket socket) {
          self->OnAccept(error, std::move(socket));
        });
  }

  void Shutdown() {
    StopListening();
    const auto sessions = std::exchange(sessions_, {});
    for (const auto& session : sessions) {
      session->Close();
    }
  }

  void StopListening() {
    std::error_code ignored;  // NOLINT: closing twice is harmless.
    acceptor_.close(ignored);
    accept_retry_timer_.Cancel();
  }

  void CloseIdle() {
    const std::vector<std::shared_ptr<HttpSession>> sessions(sessions_.begin(),
                                                             sessions_.end());
    for (const auto& session : sessions) {
      if (session->idle()) {
        session->Close();
      }
    }
  }

  int active() const {
    int count = 0;
    for (const auto& session : sessions_) {
      count += session->busy() ? 1 : 0;
    }
    return count;
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void set_limits(const heathersteer::CallerLimits& limits) {
    limits_ = limits;
  }
  void set_leaving() { leaving_ = true; }
  void set_max_buffered_bytes(std::size_t bytes) {
    max_buffered_bytes_ = bytes;
  }

  const heathersteer::CallerLimits& limits() const override { return limits_; }
  bool leaving() const override { return leaving_; }
  bool AddBufferedBytes(std::ptrdiff_t bytes) override {
    buffered_bytes_ += bytes;
    return buffered_bytes_ <= static_cast<std::ptrdiff_t>(max_buffered_bytes_);
  }
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    handler_(std::move(exchange));
  }
  void Remove(const std::shared_ptr<HttpSession>& session) override {
    sessions_.erase(session);
  }

 private:
  void OnAccept(std::error_code error, tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (error) {
      accept_retry_timer_.Start(kAcceptRetryDelay, [this] { Accept(); });
      return;
    }
    const auto session =
        std::make_shared<HttpSession>(*this, loop_, std::move(socket));
    sessions_.insert(session);
    session->Start();
    Accept();
  }

  EventLoop& loop_;
  tcp::acceptor acceptor_;
  Timer accept_retry_timer_;
  Handler handler_;
  heathersteer::CallerLimits limits_;
  std::set<std::shared_ptr<HttpSession>> sessions_;
  std::size_t max_buffered_bytes_ = kDefaultMaxBufferedBytes;
  std::ptrdiff_t buffered_bytes_ = 0;
  bool leaving_ = false;
};

HttpServer::HttpServer(EventLoop& loop,
                       const std::string& address,
                       std::uint16_t port,
                       Handler handler)
    : impl_(std::make_shared<Impl>(loop, address, port, std::move(handler))) {
  impl_->Accept();
}

HttpServer::~HttpServer() {
  impl_->Shutdown();
}

void HttpServer::SetLimits(const heathersteer::CallerLimits& limits) {
  impl_->set_limits(limits);
}

void HttpServer::SetMaxBufferedBytes(std::size_t bytes) {
  impl_->set_max_buffered_bytes(bytes);
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

std::uint16_t HttpServer::port() const {
  return impl_->port();
}

int HttpServer::active() const {
  return impl_->active();
}

}  // namespace heathergate
