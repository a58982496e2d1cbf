#ifndef HEATHER_BENCH_DECISIONS_EVENT_QUEUE_H_
#define HEATHER_BENCH_DECISIONS_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "heatherlever/instant.h"

namespace heather_bench_decisions {

/// Events of a simulation in virtual time, in the order of their instants and
/// then of their scheduling.
class EventQueue {
 public:
  using Action = std::function<void()>;

  heatherlever::Instant now() const { return now_; }

  /// Schedules an action; instants that have passed count as now.
  void At(heatherlever::Instant at, Action action);
  void After(heatherlever::Duration delay, Action action);

  /// Runs the next event; returns false if there is none.
  bool RunNext();

 private:
  struct Event {
    heatherlever::Instant at{0};
    std::uint64_t sequence = 0;
    Action action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const;
  };

  heatherlever::Instant now_{0};
  std::uint64_t next_sequence_ = 0;
  // A heap, earliest first.
  std::vector<Event> events_;
};

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_EVENT_QUEUE_H_
