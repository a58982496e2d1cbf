#include "heather-bench-decisions/event_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace heather_bench_decisions {

void EventQueue::At(heatherlever::Instant at, Action action) {
  events_.push_back({std::max(at, now_), next_sequence_++, std::move(action)});
  std::push_heap(events_.begin(), events_.end(), Later());
}

void EventQueue::After(heatherlever::Duration delay, Action action) {
  At(now_ + delay, std::move(action));
}

bool EventQueue::RunNext() {
  if (events_.empty()) {
    return false;
  }
  std::pop_heap(events_.begin(), events_.end(), Later());
  const Event event = std::move(events_.back());
  events_.pop_back();
  now_ = event.at;
  event.action();
  return true;
}

bool EventQueue::Later::operator()(const Event& left,
                                   const Event& right) const {
  return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
}

}  // namespace heather_bench_decisions
