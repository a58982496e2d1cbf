#ifndef HEATHER_STANDIN_RELAY_DIRECTION_H_
#define HEATHER_STANDIN_RELAY_DIRECTION_H_

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "heather-standin/relay_faults.h"
#include "heather-standin/relay_listener.h"

namespace heather_standin {

/// One way of a relayed connection: reads from `source`, holds each chunk for
/// the delay, and writes it to `sink`. All calls are on the loop's thread.
class RelayDirection {
 public:
  using Socket = asio::ip::tcp::socket;

  RelayDirection(RelayWay way,
                 Socket& source,
                 Socket& sink,
                 const RelayFaults& faults);

  /// Starts to read. Every operation in progress keeps `listener` alive.
  void Start(const std::weak_ptr<RelayListener>& listener);

  /// Looks at the faults again.
  void FaultsChanged();

  /// Nothing is read or written any more, for good.
  void GoSilent();

 private:
  struct Chunk {
    std::chrono::steady_clock::time_point due;
    /// Empty for the end of the stream.
    std::string data;
  };

  void Read();
  void WriteNext();
  void Write(const Chunk& chunk);
  bool IsFull() const { return held_bytes_ >= kMaxHeldBytes; }

  static constexpr std::size_t kReadBytes = 65'536;
  static constexpr std::size_t kMaxHeldBytes = 4 << 20;

  const RelayWay way_;
  Socket& source_;
  Socket& sink_;
  const RelayFaults& faults_;
  asio::steady_timer timer_;
  std::weak_ptr<RelayListener> listener_;
  std::array<char, kReadBytes> buffer_;
  std::deque<Chunk> held_;
  std::size_t held_bytes_ = 0;
  bool reading_ = false;
  bool writing_ = false;
  bool ended_ = false;
  bool silent_ = false;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_RELAY_DIRECTION_H_
