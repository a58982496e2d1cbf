#include "heathernet/peer_transport.h"

#include <sodium.h>

#include <absl/strings/str_cat.h>

#include <asio/ip/tcp.hpp>
#include <map>
#include <set>
#include <utility>

#include "event_loop_impl.h"
#include "peer_call_state.h"
#include "peer_client_connection.h"
#include "peer_context.h"
#include "peer_server_connection.h"

namespace heathernet {

using asio::ip::tcp;

namespace {

// After an accept that failed, as when the process is out of descriptors.
constexpr heatherlever::Duration kAcceptRetryDelay{100'000};

}  // namespace

class PeerTransport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(EventLoop& loop, const PeerLimits& limits)
      : context_(std::make_shared<PeerContext>(loop, limits)),
        acceptor_(loop.impl()->context) {}

  absl::Status Listen(const PeerOptions& options);
  void Accept();
  PeerCall Call(const PeerAddress& peer,
                PeerRequest request,
                Callback callback);
  void StopAccepting();
  void Shutdown();

  PeerContext& context() { return *context_; }
  const PeerAddress& address() const { return address_; }

 private:
  using ClientPtr = std::shared_ptr<PeerClientConnection>;
  using ServerPtr = std::shared_ptr<PeerServerConnection>;

  void HandleAccept(const std::error_code& error, tcp::socket socket);
  /// A connection for a new call; null if none can be had.
  ClientPtr ConnectionTo(const PeerAddress& peer, bool background);
  ClientPtr OpenConnection(const PeerAddress& peer);
  void UpdateCounts();
  std::string NextExchangeId();

  std::shared_ptr<PeerContext> context_;
  tcp::acceptor acceptor_;
  TimerHandle accept_retry_;
  PeerAddress address_;
  asio::ip::address local_ip_;
  // The connection that new calls to a peer use.
  std::map<PeerAddress, ClientPtr> current_;
  // All outgoing connections, replaced ones included.
  std::set<ClientPtr> outgoing_;
  std::set<ServerPtr> incoming_;
  // Differs between processes, so that ids never repeat.
  std::string exchange_prefix_ =
      absl::StrCat(absl::Hex((std::uint64_t{randombytes_random()} << 32) |
                             randombytes_random()),
                   "-");
  std::uint64_t next_exchange_ = 0;
};

absl::Status PeerTransport::Impl::Listen(const PeerOptions& options) {
  std::error_code error;
  local_ip_ = asio::ip::make_address(options.address, error);
  if (error) {
    return absl::InvalidArgumentError(absl::StrCat(
        "peer transport: '", options.address, "' is no IP number"));
  }
  const tcp::endpoint endpoint(local_ip_, options.port);
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
    return absl::UnavailableError(
        absl::StrCat("peer transport: cannot listen on ", options.address, ":",
                     options.port, ": ", error.message()));
  }
  address_ = {options.address, acceptor_.local_endpoint().port()};
  return absl::OkStatus();
}

void PeerTransport::Impl::Accept() {
  acceptor_.async_accept([weak = weak_from_this()](const std::error_code& error,
                                                   tcp::socket socket) {
    if (const auto self = weak.lock()) {
      self->HandleAccept(error, std::move(socket));
    }
  });
}

void PeerTransport::Impl::HandleAccept(const std::error_code& error,
                                       tcp::socket socket) {
  if (!acceptor_.is_open()) {
    return;
  }
  if (error) {
    accept_retry_ =
        context_->loop.After(kAcceptRetryDelay, [weak = weak_from_this()] {
          const auto self = weak.lock();
          if (self && self->acceptor_.is_open()) {
            self->Accept();
          }
        });
    return;
  }
  if (incoming_.size() >= context_->limits.max_incoming_connections) {
    ++context_->stats.rejected;
  } else {
    ++context_->stats.accepted;
    const ServerPtr connection =
        PeerServerConnection::Accept(context_, std::move(socket));
    if (!connection->closed()) {
      incoming_.insert(connection);
      connection->set_on_closed(
          [weak = weak_from_this(),
           closed = std::weak_ptr<PeerServerConnection>(connection)] {
            if (const auto self = weak.lock()) {
              self->incoming_.erase(closed.lock());
              self->UpdateCounts();
            }
          });
      UpdateCounts();
    }
  }
  Accept();
}

void PeerTransport::Impl::UpdateCounts() {
  context_->stats.open_incoming = incoming_.size();
  context_->stats.open_outgoing = outgoing_.size();
}

PeerTransport::Impl::ClientPtr PeerTransport::Impl::ConnectionTo(
    const PeerAddress& peer,
    bool background) {
  const auto found = current_.find(peer);
  if (found != current_.end()) {
    ClientPtr connection = found->second;
    if (connection->usable(background, EventLoop::Now())) {
      return connection;
    }
    ++context_->stats.connections_replaced;
    current_.erase(found);
    connection->CloseWhenIdle();
  }
  return OpenConnection(peer);
}

PeerTransport::Impl::ClientPtr PeerTransport::Impl::OpenConnection(
    const PeerAddress& peer) {
  std::error_code error;
  const auto ip = asio::ip::make_address(peer.ip, error);
  if (error || outgoing_.size() >= context_->limits.max_outgoing_connections) {
    return nullptr;
  }
  ClientPtr connection = PeerClientConnection::Connect(
      context_, tcp::endpoint(local_ip_, 0), tcp::endpoint(ip, peer.port));
  connection->set_on_closed(
      [weak = weak_from_this(), peer,
       closed = std::weak_ptr<PeerClientConnection>(connection)] {
        const auto self = weak.lock();
        const auto gone = closed.lock();
        if (!self || !gone) {
          return;
        }
        const auto used = self->current_.find(peer);
        if (used != self->current_.end() && used->second == gone) {
          self->current_.erase(used);
        }
        self->outgoing_.erase(gone);
        self->UpdateCounts();
      });
  outgoing_.insert(connection);
  current_[peer] = connection;
  UpdateCounts();
  return connection;
}

std::string PeerTransport::Impl::NextExchangeId() {
  return absl::StrCat(exchange_prefix_, ++next_exchange_);
}

PeerCall PeerTransport::Impl::Call(const PeerAddress& peer,
                                   PeerRequest request,
                                   Callback callback) {
  auto call = std::make_shared<PeerCall::State>();
  call->context = context_;
  call->callback = std::move(callback);
  if (request.body.size() > context_->limits.max_body_bytes) {
    call->Finish(PeerOutcome::kNotSent, "body too large");
    return {};
  }
  const ClientPtr connection = ConnectionTo(peer, request.background);
  if (!connection) {
    call->Finish(PeerOutcome::kNotSent,
                 absl::StrCat("no connection to '", peer.ip,
                              "': no IP number, or too many connections"));
    return {};
  }
  call->deadline = context_->loop.After(
      request.timeout, [weak = std::weak_ptr<PeerCall::State>(call)] {
        if (const auto late = weak.lock()) {
          late->Abort("timed out");
        }
      });
  connection->Submit(call, std::move(request), NextExchangeId());
  return PeerCall(call);
}

void PeerTransport::Impl::StopAccepting() {
  std::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_.Cancel();
  context_->accepting = false;
  // Drain() may close a connection, which takes it out of incoming_.
  const std::set<ServerPtr> connections = incoming_;
  for (const ServerPtr& connection : connections) {
    connection->Drain();
  }
}

void PeerTransport::Impl::Shutdown() {
  context_->open = false;
  context_->handler = nullptr;
  std::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_.Cancel();
  current_.clear();
  for (const ClientPtr& connection : std::exchange(outgoing_, {})) {
    connection->Close();
  }
  for (const ServerPtr& connection : std::exchange(incoming_, {})) {
    connection->Close();
  }
}

PeerTransport::PeerTransport(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

PeerTransport::~PeerTransport() {
  impl_->Shutdown();
}

absl::StatusOr<std::unique_ptr<PeerTransport>> PeerTransport::Create(
    EventLoop& loop,
    const PeerOptions& options) {
  auto impl = std::make_shared<Impl>(loop, options.limits);
  if (absl::Status listening = impl->Listen(options); !listening.ok()) {
    return listening;
  }
  impl->Accept();
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(impl)));
}

void PeerTransport::SetHandler(Handler handler) {
  impl_->context().handler = std::move(handler);
}

PeerCall PeerTransport::Call(const PeerAddress& peer,
                             PeerRequest request,
                             Callback callback) {
  return impl_->Call(peer, std::move(request), std::move(callback));
}

void PeerTransport::StopAccepting() {
  impl_->StopAccepting();
}

const PeerAddress& PeerTransport::address() const {
  return impl_->address();
}

const PeerStats& PeerTransport::stats() const {
  return impl_->context().stats;
}

}  // namespace heathernet
