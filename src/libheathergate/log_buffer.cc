#include "heathergate/log_buffer.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/null_sink.h>
#include <spdlog/spdlog.h>

#include <string>
#include <utility>

#include "heathergate/timer.h"
#include "heathernet/event_loop.h"
#include "libheathernet/line_formatter.h"
#include "libheathernet/output_writer.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heathernet::EventLoop;

// Maximum bytes that wait for a slow reader, about a thousand lines.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
constexpr Duration kFlushInterval = std::chrono::milliseconds(200);
// Maximum time that the end of a process waits for a slow reader.
constexpr Duration kFinishTimeout = std::chrono::milliseconds(100);
constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%e %L %v";

}  // namespace

class LogBuffer::Sink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  Sink(EventLoop& loop, int descriptor) : timer_(loop), writer_(descriptor) {}

  void Stop() {
    stopped_ = true;
    timer_.Cancel();
    WriteOut();
    writer_.Finish(kFinishTimeout);
  }

  std::uint64_t dropped() const { return dropped_ + writer_.failed_lines(); }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (waiting_bytes() + line.size() > kMaxBufferedBytes) {
      ++dropped_;
    } else {
      buffer_.append(line.data(), line.size());
    }
    ScheduleFlush();
  }

  void flush_() override { WriteOut(); }

 private:
  std::size_t waiting_bytes() const {
    return buffer_.size() + writer_.pending_bytes();
  }

  void WriteOut() {
    if (dropped() > reported_dropped_ &&
        waiting_bytes() < kMaxBufferedBytes / 2) {
      const std::uint64_t now_dropped = dropped();
      buffer_ += "log lines dropped: " +
                 std::to_string(now_dropped - reported_dropped_) + "\n";
      reported_dropped_ = now_dropped;
    }
    writer_.Write(std::exchange(buffer_, {}));
  }

  void ScheduleFlush() {
    if (flush_scheduled_ || stopped_) {
      return;
    }
    flush_scheduled_ = true;
    timer_.Start(kFlushInterval, [this] {
      flush_scheduled_ = false;
      WriteOut();
      if (dropped_ > reported_dropped_) {
        ScheduleFlush();
      }
    });
  }

  Timer timer_;
  heathernet::OutputWriter writer_;
  std::string buffer_;
  // Lines for which there was no room.
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  bool flush_scheduled_ = false;
  bool stopped_ = false;
};

LogBuffer::LogBuffer(EventLoop& loop, int descriptor)
    : sink_(std::make_shared<Sink>(loop, descriptor)) {
  auto logger = std::make_shared<spdlog::logger>("", sink_);
  logger->set_formatter(std::make_unique<heathernet::LineFormatter>(kPattern));
  spdlog::set_default_logger(logger);
}

LogBuffer::~LogBuffer() {
  sink_->Stop();
  // A logger of standard output would wait for its reader.
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "", std::make_shared<spdlog::sinks::null_sink_st>()));
}

std::uint64_t LogBuffer::dropped() const {
  return sink_->dropped();
}

}  // namespace heathergate
