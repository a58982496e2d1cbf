#ifndef HEATHERGATE_RESPONSE_TIMER_H_
#define HEATHERGATE_RESPONSE_TIMER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "heathergate/timer.h"
#include "heatherlever/instant.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class HttpCall;

/// Limits the time until a response begins, and the time in which no more of it
/// arrives. A response that keeps arriving takes as long as the link needs.
class ResponseTimer {
 public:
  explicit ResponseTimer(heathernet::EventLoop& loop) : timer_(loop) {}

  /// Calls `on_expired` if the response to `call` has not begun after
  /// `timeout`, or stops arriving later. Does nothing if the call has ended.
  void Start(std::shared_ptr<HttpCall> call,
             heatherlever::Duration timeout,
             std::function<void()> on_expired);
  void Cancel();

 private:
  void StartTimer(heatherlever::Duration delay);
  void OnExpired();

  Timer timer_;
  std::shared_ptr<HttpCall> call_;
  std::function<void()> on_expired_;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_RESPONSE_TIMER_H_
