#include "heathergate/log_buffer.h"

#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <string>

#include "heathergate/timer.h"
#include "heathernet/event_loop.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heathernet::EventLoop;

// Bytes that wait for the reader; about a thousand lines.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
// Pause between writes.
constexpr Duration kFlushInterval = std::chrono::milliseconds(200);
constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%e %L %v";

void SetBlocking(bool blocking) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL,
          blocking ? flags & ~O_NONBLOCK : flags | O_NONBLOCK);
  }
}

}  // namespace

class LogBuffer::Sink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit Sink(EventLoop& loop) : timer_(loop) {}

  void WriteOut() {
    if (dropped_ > reported_dropped_ &&
        buffer_.size() < kMaxBufferedBytes / 2) {
      buffer_ +=
          "log lines dropped: " + std::to_string(dropped_ - reported_dropped_) +
          "\n";
      reported_dropped_ = dropped_;
    }
    const ssize_t written =
        write(STDOUT_FILENO, buffer_.data(), buffer_.size());
    if (written > 0) {
      buffer_.erase(0, static_cast<std::size_t>(written));
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.Cancel();
    WriteOut();
  }

  std::uint64_t dropped() const { return dropped_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (buffer_.size() + line.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    buffer_.append(line.data(), line.size());
    ScheduleFlush();
  }

  void flush_() override { WriteOut(); }

 private:
  void ScheduleFlush() {
    if (flush_scheduled_ || stopped_) {
      return;
    }
    flush_scheduled_ = true;
    timer_.Start(kFlushInterval, [this] {
      flush_scheduled_ = false;
      WriteOut();
      if (!buffer_.empty()) {
        ScheduleFlush();
      }
    });
  }

  Timer timer_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  bool flush_scheduled_ = false;
  bool stopped_ = false;
};

LogBuffer::LogBuffer(EventLoop& loop) : sink_(std::make_shared<Sink>(loop)) {
  SetBlocking(false);
  auto logger = std::make_shared<spdlog::logger>("", sink_);
  logger->set_pattern(kPattern);
  spdlog::set_default_logger(logger);
}

LogBuffer::~LogBuffer() {
  sink_->Stop();
  SetBlocking(true);
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "", std::make_shared<spdlog::sinks::stdout_sink_st>()));
}

std::uint64_t LogBuffer::dropped() const {
  return sink_->dropped();
}

}  // namespace heathergate
