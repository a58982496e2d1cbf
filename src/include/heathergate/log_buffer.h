#ifndef HEATHERGATE_LOG_BUFFER_H_
#define HEATHERGATE_LOG_BUFFER_H_

#include <cstdint>
#include <memory>

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

/// Sends the default logger's lines to standard output from the event loop.
/// Lines are collected and written together; they never block. While the reader
/// is too slow, further lines are dropped and counted in a later one.
class LogBuffer {
 public:
  explicit LogBuffer(heathernet::EventLoop& loop);

  /// Writes what is left and gives the default logger its own output back.
  ~LogBuffer();

  /// Lines dropped since the start.
  std::uint64_t dropped() const;

 private:
  class Sink;
  std::shared_ptr<Sink> sink_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_LOG_BUFFER_H_
