#include "heather-standin/relay_session.h"

#include <utility>

namespace heather_standin {

RelaySession::RelaySession(asio::ip::tcp::socket client,
                           const RelayFaults& faults)
    : client_(std::move(client)),
      target_(client_.get_executor()),
      to_target_(RelayWay::kToTarget, client_, target_, faults),
      from_target_(RelayWay::kFromTarget, target_, client_, faults) {}

void RelaySession::Start(const asio::ip::tcp::endpoint& target) {
  target_.async_connect(
      target, [self = shared_from_this()](const asio::error_code& error) {
        if (self->closed_ || self->silent_) {
          return;
        }
        if (error) {
          self->Reset();
          return;
        }
        self->client_.set_option(asio::ip::tcp::no_delay(true));
        self->target_.set_option(asio::ip::tcp::no_delay(true));
        self->to_target_.Start(self);
        self->from_target_.Start(self);
      });
}

void RelaySession::FaultsChanged() {
  to_target_.FaultsChanged();
  from_target_.FaultsChanged();
}

void RelaySession::GoSilent() {
  silent_ = true;
  to_target_.GoSilent();
  from_target_.GoSilent();
}

void RelaySession::Reset() {
  if (closed_) {
    return;
  }
  closed_ = true;
  ResetSocket(client_);
  ResetSocket(target_);
}

void RelaySession::DirectionFailed() {
  Reset();
}

void RelaySession::DirectionFinished() {
  ++finished_ways_;
  if (finished_ways_ < 2 || closed_) {
    return;
  }
  closed_ = true;
  asio::error_code ignored;
  client_.close(ignored);
  target_.close(ignored);
}

void RelaySession::ResetSocket(asio::ip::tcp::socket& socket) {
  asio::error_code ignored;
  // Closing with a linger time of zero sends a reset.
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace heather_standin
