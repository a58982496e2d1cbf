#include "heather-bench-decisions/event_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace heather_bench_decisions {

void EventQueue::At(heatherlever::Instant at, Action action) {
  events_.push({std::max(at, now_), next_sequence_++, std::move(action)});
}

void EventQueue::After(heatherlever::Duration delay, Action action) {
  At(now_ + delay, std::move(action));
}

bool EventQueue::RunNext() {
  if (events_.empty()) {
    return false;
  }
  const Event event = events_.top();
  events_.pop();
  now_ = event.at;
  event.action();
  return true;
}

bool EventQueue::Later::operator()(const Event& left,
                                   const Event& right) const {
  return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
}

}  // namespace heather_bench_decisions
