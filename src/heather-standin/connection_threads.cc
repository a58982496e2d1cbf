#include "heather-standin/connection_threads.h"

#include <utility>

namespace heather_standin {

void ConnectionThreads::enqueue(std::function<void()> task) {
  const std::lock_guard<std::mutex> lock(mutex_);
  tasks_.push_back(std::move(task));
  if (tasks_.size() > idle_threads_) {
    threads_.emplace_back([this] { RunTasks(); });
  }
  changed_.notify_one();
}

void ConnectionThreads::shutdown() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void ConnectionThreads::RunTasks() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_threads_;
    changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
    --idle_threads_;
    if (tasks_.empty()) {
      return;
    }
    const std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace heather_standin
