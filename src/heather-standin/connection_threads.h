#ifndef HEATHER_STANDIN_CONNECTION_THREADS_H_
#define HEATHER_STANDIN_CONNECTION_THREADS_H_

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace heather_standin {

/// Runs each task at once: on an idle thread if there is one, else on a new
/// one. A server's tasks are its connections, so it has as many threads as it
/// ever had connections open at the same time.
class ConnectionThreads : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> task) override;

  /// Waits for every task to end.
  void shutdown() override;

 private:
  void RunTasks();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  std::size_t idle_threads_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_CONNECTION_THREADS_H_
