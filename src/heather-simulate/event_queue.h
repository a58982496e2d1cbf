#ifndef HEATHER_SIMULATE_EVENT_QUEUE_H_
#define HEATHER_SIMULATE_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "heatherlever/instant.h"

namespace heather_simulate {

/// Functions in virtual time; those of one instant run in the order in which
/// they were added.
class EventQueue {
 public:
  heatherlever::Instant now() const { return now_; }

  void At(heatherlever::Instant instant, std::function<void()> function) {
    events_.emplace(std::pair(std::max(instant, now_), next_sequence_++),
                    std::move(function));
  }

  void After(heatherlever::Duration delay, std::function<void()> function) {
    At(now_ + delay, std::move(function));
  }

  /// Runs everything up to `end`.
  void RunUntil(heatherlever::Instant end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

 private:
  using Key = std::pair<heatherlever::Instant, std::uint64_t>;

  heatherlever::Instant now_{0};
  std::uint64_t next_sequence_ = 0;
  std::map<Key, std::function<void()>> events_;
};

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_EVENT_QUEUE_H_
