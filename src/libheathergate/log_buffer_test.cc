#include "heathergate/log_buffer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

#include "heathernet/event_loop.h"

namespace heathergate {
namespace {

using heathernet::EventLoop;

// More than the buffer and a pipe hold.
constexpr std::size_t kTooManyBytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t kLineBytes = 1000;

class LogBufferTest : public testing::Test {
 protected:
  LogBufferTest() : before_(spdlog::default_logger()) {
    std::array<int, 2> ends{};
    EXPECT_EQ(pipe(ends.data()), 0);
    reader_ = ends[0];
    writer_ = ends[1];
    log_.emplace(loop_, writer_);
  }

  // The writer's end stays open for a thread that still waits.
  ~LogBufferTest() override {
    log_.reset();
    spdlog::set_default_logger(before_);
    close(reader_);
  }

  static void LogTooMuch() {
    for (std::size_t bytes = 0; bytes < kTooManyBytes; bytes += kLineBytes) {
      spdlog::info("{}", std::string(kLineBytes, 'x'));
    }
  }

  // Runs the loop and reads until the text has been read.
  std::string ReadUntil(const std::string& text) {
    std::string output;
    while (output.find(text) == std::string::npos) {
      RunFor(std::chrono::milliseconds(1));
      pollfd waiting{.fd = reader_, .events = POLLIN, .revents = 0};
      if (poll(&waiting, 1, 0) == 0) {
        continue;
      }
      std::array<char, 65536> piece{};
      const ssize_t count = read(reader_, piece.data(), piece.size());
      if (count <= 0) {
        break;
      }
      output.append(piece.data(), static_cast<std::size_t>(count));
    }
    return output;
  }

  void RunFor(heatherlever::Duration duration) {
    loop_.After(duration, [this] { loop_.Stop(); });
    loop_.Run();
  }

  EventLoop loop_;
  std::shared_ptr<spdlog::logger> before_;
  int reader_ = -1;
  int writer_ = -1;
  std::optional<LogBuffer> log_;
};

TEST_F(LogBufferTest, LinesAreWrittenInOrder) {
  spdlog::info("first");
  spdlog::warn("second");
  const std::string output = ReadUntil("second\n");
  EXPECT_NE(output.find("I first\n"), std::string::npos);
  EXPECT_NE(output.find("W second\n"), std::string::npos);
  EXPECT_LT(output.find("first"), output.find("second"));
  EXPECT_EQ(log_->dropped(), 0);
}

TEST_F(LogBufferTest, LinesBeyondTheBufferAreDroppedAndReported) {
  LogTooMuch();
  const std::uint64_t dropped = log_->dropped();
  EXPECT_GT(dropped, 0);
  ReadUntil("log lines dropped: " + std::to_string(dropped) + "\n");
  spdlog::info("next");
  EXPECT_NE(ReadUntil("next\n").find("I next\n"), std::string::npos);
  EXPECT_EQ(log_->dropped(), dropped);
}

TEST_F(LogBufferTest, LinesLeftAtTheEndAreWritten) {
  spdlog::info("last");
  log_.reset();
  EXPECT_NE(ReadUntil("last\n").find("I last\n"), std::string::npos);
}

// Blocked forever.
TEST_F(LogBufferTest, EndsAlthoughNobodyReads) {
  LogTooMuch();
  RunFor(std::chrono::milliseconds(300));
  log_.reset();
  LogTooMuch();
}

TEST_F(LogBufferTest, LinesThatCannotBeWrittenAreCounted) {
  const int full = open("/dev/full", O_WRONLY);
  ASSERT_GE(full, 0);
  log_.emplace(loop_, full);
  spdlog::info("one");
  spdlog::info("two");
  while (log_->dropped() == 0) {
    RunFor(std::chrono::milliseconds(1));
  }
  EXPECT_EQ(log_->dropped(), 2);
  log_.reset();
  close(full);
}

TEST_F(LogBufferTest, FlagsOfTheDescriptorStay) {
  const int flags = fcntl(writer_, F_GETFL);
  spdlog::info("line");
  ReadUntil("line\n");
  EXPECT_EQ(fcntl(writer_, F_GETFL), flags);
  log_.reset();
  EXPECT_EQ(fcntl(writer_, F_GETFL), flags);
}

}  // namespace
}  // namespace heathergate
