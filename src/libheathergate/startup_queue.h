#ifndef LIBHEATHERGATE_STARTUP_QUEUE_H_
#define LIBHEATHERGATE_STARTUP_QUEUE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "heathergate/timer.h"
#include "heatherlever/instant.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class HttpExchange;

/// Requests that came before this host knew a configuration and a backend
/// server. They are kept for a short time instead of being rejected.
class StartupQueue {
 public:
  using Expired = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  /// `expired` takes each request that was kept for `longest`.
  StartupQueue(heathernet::EventLoop& loop,
               heatherlever::Duration longest,
               Expired expired);

  /// Keeps a request; one too many expires at once.
  void Add(const std::shared_ptr<HttpExchange>& exchange);

  /// The requests that still wait, the oldest first; none are kept after that.
  std::vector<std::shared_ptr<HttpExchange>> TakeAll();

  std::size_t size() const { return waiting_.size(); }

 private:
  void StartTimer();
  void OnTimer();

  heatherlever::Duration max_wait_;
  Expired expired_;
  Timer timer_;
  std::deque<std::shared_ptr<HttpExchange>> waiting_;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_STARTUP_QUEUE_H_
