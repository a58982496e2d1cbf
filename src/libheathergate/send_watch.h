#ifndef LIBHEATHERGATE_SEND_WATCH_H_
#define LIBHEATHERGATE_SEND_WATCH_H_

#include <asio/ip/tcp.hpp>
#include <cstddef>

#include "heathergate/timer.h"
#include "heatherlever/instant.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

/// Keeps a connection whose peer is alive and does not read from being taken
/// for a dead one.
class SendWatch {
 public:
  SendWatch(heathernet::EventLoop& loop, asio::ip::tcp::socket& socket);

  /// `ack_timeout` is the time for the peer to acknowledge bytes that it was
  /// sent, `stall_timeout` the time for which it may accept no bytes.
  void SetTimeouts(heatherlever::Duration ack_timeout,
                   heatherlever::Duration stall_timeout);

  /// Watches the connection until all written bytes are acknowledged. `size` is
  /// the number of bytes that are being written.
  void Start(std::size_t size);

  /// Gives bytes that are still unsent when the connection is closed the time
  /// of a peer that does not read.
  void AllowStall();

  void Stop() { timer_.Cancel(); }

 private:
  void Schedule();
  void Check();
  void Apply(heatherlever::Duration timeout);

  asio::ip::tcp::socket& socket_;
  Timer timer_;
  heatherlever::Duration ack_timeout_{0};
  heatherlever::Duration stall_timeout_{0};
  heatherlever::Duration applied_{0};
  bool watching_ = false;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_SEND_WATCH_H_
