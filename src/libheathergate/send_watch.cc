#include "libheathergate/send_watch.h"

#include <algorithm>

#include "libheathergate/sent_bytes.h"
#include "libheathergate/socket_options.h"

namespace heathergate {
namespace {

using heatherlever::Duration;

// Less than this fits into the receive buffer of a peer that does not read.
constexpr std::size_t kMinWatchedBytes = 16384;
// A stall is found before the acknowledgement timeout has passed.
constexpr int kChecksPerTimeout = 3;

}  // namespace

SendWatch::SendWatch(heathernet::EventLoop& loop, asio::ip::tcp::socket& socket)
    : socket_(socket), timer_(loop) {}

void SendWatch::SetTimeouts(Duration ack_timeout, Duration stall_timeout) {
  ack_timeout_ = ack_timeout;
  stall_timeout_ = std::max(ack_timeout, stall_timeout);
  applied_ = ack_timeout;
}

void SendWatch::Start(std::size_t size) {
  if (size >= kMinWatchedBytes) {
    watching_ = true;
    Schedule();
  }
}

void SendWatch::AllowStall() {
  if (watching_) {
    Apply(stall_timeout_);
  }
}

void SendWatch::Schedule() {
  timer_.Start(ack_timeout_ / kChecksPerTimeout, [this] { Check(); });
}

// Linux ends a connection at TCP_USER_TIMEOUT also if the peer has announced a
// window of zero for that long and acknowledges every probe. With bytes to send
// and none in flight, the peer has acknowledged all that it had room for.
void SendWatch::Check() {
  const auto sent = SentBytes::Of(socket_.native_handle());
  if (!sent.has_value()) {
    return;
  }
  const bool done = sent->acknowledged == sent->written;
  Apply(!done && !sent->in_flight ? stall_timeout_ : ack_timeout_);
  watching_ = !done;
  if (!done) {
    Schedule();
  }
}

void SendWatch::Apply(Duration timeout) {
  if (applied_ != timeout) {
    applied_ = timeout;
    SetAckTimeout(socket_, timeout);
  }
}

}  // namespace heathergate
