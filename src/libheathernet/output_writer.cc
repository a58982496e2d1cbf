#include "libheathernet/output_writer.h"

#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <mutex>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>

namespace heathernet {
namespace {

constexpr int kPollTimeoutMs = 1000;

// Blocks all signals of the calling thread; a thread started meanwhile inherits
// that, so that signals are still delivered to the event loop's thread.
class ScopedSignalBlock {
 public:
  ScopedSignalBlock() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before_);
  }
  ~ScopedSignalBlock() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  ScopedSignalBlock(const ScopedSignalBlock&) = delete;
  ScopedSignalBlock& operator=(const ScopedSignalBlock&) = delete;

 private:
  sigset_t before_{};
};

// Returns the part of the text that could not be written.
std::string_view WriteAll(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = write(descriptor, text.data(), text.size());
    if (written >= 0) {
      text.remove_prefix(static_cast<std::size_t>(written));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      // Another process that shares the open file has made it nonblocking.
      pollfd waiting{.fd = descriptor, .events = POLLOUT, .revents = 0};
      poll(&waiting, 1, kPollTimeoutMs);
    } else if (errno != EINTR) {
      break;
    }
  }
  return text;
}

}  // namespace

struct OutputWriter::State {
  explicit State(int output) : descriptor(output) {}

  void Run();

  const int descriptor;
  std::atomic<std::size_t> pending_bytes = 0;
  std::atomic<std::uint64_t> failed_lines = 0;

  std::mutex mutex;
  std::condition_variable changed;
  // Guarded by the mutex.
  std::string text;
  bool writing = false;
  bool finished = false;
};

void OutputWriter::State::Run() {
  std::unique_lock lock(mutex);
  while (true) {
    changed.wait(lock, [this] { return finished || !text.empty(); });
    if (text.empty()) {
      return;
    }
    const std::string piece = std::exchange(text, {});
    writing = true;
    lock.unlock();
    const std::string_view failed = WriteAll(descriptor, piece);
    failed_lines += static_cast<std::uint64_t>(
        std::count(failed.begin(), failed.end(), '\n'));
    pending_bytes -= piece.size();
    lock.lock();
    writing = false;
    if (finished) {
      changed.notify_all();
    }
  }
}

OutputWriter::OutputWriter(int descriptor)
    : state_(std::make_shared<State>(descriptor)) {}

OutputWriter::~OutputWriter() {
  Finish(heatherlever::Duration::zero());
}

void OutputWriter::Write(std::string text) {
  if (text.empty()) {
    return;
  }
  {
    const std::scoped_lock lock(state_->mutex);
    if (state_->finished) {
      return;
    }
    state_->pending_bytes += text.size();
    if (state_->text.empty()) {
      state_->text = std::move(text);
    } else {
      state_->text += text;
    }
  }
  if (thread_started_) {
    state_->changed.notify_all();
    return;
  }
  const ScopedSignalBlock block;
  try {
    std::thread([state = state_] { state->Run(); }).detach();
    thread_started_ = true;
  } catch (const std::system_error&) {
    // The machine has no thread to spare now; the next call tries again.
  }
}

void OutputWriter::Finish(heatherlever::Duration timeout) {
  std::unique_lock lock(state_->mutex);
  state_->finished = true;
  state_->changed.notify_all();
  if (thread_started_ && timeout > heatherlever::Duration::zero()) {
    state_->changed.wait_for(lock, timeout, [this] {
      return state_->text.empty() && !state_->writing;
    });
  }
}

std::size_t OutputWriter::pending_bytes() const {
  return state_->pending_bytes;
}

std::uint64_t OutputWriter::failed_lines() const {
  return state_->failed_lines;
}

}  // namespace heathernet
