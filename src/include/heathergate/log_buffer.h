#ifndef HEATHERGATE_LOG_BUFFER_H_
#define HEATHERGATE_LOG_BUFFER_H_

#include <cstdint>
#include <memory>

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

/// Writes the default logger's output to a descriptor. Lines are buffered and
/// written together by a separate thread, so that the event loop never blocks.
/// If the reader is too slow, lines are dropped, and a later line reports how
/// many. Lines are logged on the loop's thread only.
class LogBuffer {
 public:
  LogBuffer(heathernet::EventLoop& loop, int descriptor);

  /// Writes the remaining lines unless the reader is too slow. The default
  /// logger then discards what it gets.
  ~LogBuffer();
  LogBuffer(const LogBuffer&) = delete;
  LogBuffer& operator=(const LogBuffer&) = delete;

  /// Number of lines dropped since construction, for want of room or because
  /// they could not be written.
  std::uint64_t dropped() const;

 private:
  class Sink;
  std::shared_ptr<Sink> sink_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_LOG_BUFFER_H_
