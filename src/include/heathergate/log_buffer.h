#ifndef HEATHERGATE_LOG_BUFFER_H_
#define HEATHERGATE_LOG_BUFFER_H_

#include <cstdint>
#include <memory>

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

/// Writes the default logger's output to standard output from the event loop.
/// Lines are buffered and written together without blocking. If the reader is
/// too slow, lines are dropped, and a later line reports how many.
class LogBuffer {
 public:
  explicit LogBuffer(heathernet::EventLoop& loop);

  /// Writes the remaining lines and restores plain standard output for the
  /// default logger.
  ~LogBuffer();

  /// Number of lines dropped since construction.
  std::uint64_t dropped() const;

 private:
  class Sink;
  std::shared_ptr<Sink> sink_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_LOG_BUFFER_H_
