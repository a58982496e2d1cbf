#include "libheathernet/connection_threads.h"

#include <chrono>
#include <utility>

namespace heathernet {
namespace {

// A thread without a connection ends after this long.
constexpr std::chrono::seconds kIdleLimit(10);

}  // namespace

ConnectionThreads::ConnectionThreads(std::size_t limit) : limit_(limit) {}

ConnectionThreads::~ConnectionThreads() {
  shutdown();
}

void ConnectionThreads::enqueue(std::function<void()> connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  waiting_.push_back(std::move(connection));
  if (idle_ >= waiting_.size()) {
    changed_.notify_one();
    return;
  }
  if (threads_ < limit_) {
    ++threads_;
    std::thread([this] { Work(); }).detach();
  }
}

void ConnectionThreads::shutdown() {
  std::unique_lock<std::mutex> lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
  changed_.wait(lock, [this] { return threads_ == 0; });
}

void ConnectionThreads::Work() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_;
    const bool woken = changed_.wait_for(
        lock, kIdleLimit, [this] { return stopping_ || !waiting_.empty(); });
    --idle_;
    if (waiting_.empty()) {
      if (stopping_ || !woken) {
        break;
      }
      continue;
    }
    const std::function<void()> connection = std::move(waiting_.front());
    waiting_.pop_front();
    lock.unlock();
    connection();
    lock.lock();
  }
  --threads_;
  changed_.notify_all();
}

}  // namespace heathernet
