#ifndef LIBHEATHERNET_CONNECTION_THREADS_H_
#define LIBHEATHERNET_CONNECTION_THREADS_H_

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>
#include <thread>

namespace heathernet {

/// Serves each connection of an HTTP server on a thread of its own, up to a
/// limit; further connections wait. cpp-httplib's own pool is of a fixed size,
/// so that a few idle connections would keep all others waiting.
class ConnectionThreads : public httplib::TaskQueue {
 public:
  /// `limit` threads at most.
  explicit ConnectionThreads(std::size_t limit);
  ~ConnectionThreads() override;

  void enqueue(std::function<void()> connection) override;

  /// Waits until every connection has been served.
  void shutdown() override;

 private:
  void Work();

  const std::size_t limit_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::list<std::function<void()>> waiting_;
  std::size_t threads_ = 0;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

}  // namespace heathernet

#endif  // LIBHEATHERNET_CONNECTION_THREADS_H_
