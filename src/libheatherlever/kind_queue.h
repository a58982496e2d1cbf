#ifndef HEATHERLEVER_KIND_QUEUE_H_
#define HEATHERLEVER_KIND_QUEUE_H_

#include <cstddef>
#include <deque>
#include <string>

#include "fair_queue.h"
#include "floor_account.h"
#include "heatherlever/instant.h"
#include "heatherlever/rank.h"

namespace heatherlever {

/// The queued work of one kind, and measurements of the kind.
class KindQueue {
 public:
  KindQueue(std::string name, Duration service_time);

  const std::string& name() const { return name_; }
  Rank rank = Rank::kThird;
  double floor_share = 0;
  bool idempotent = false;

  /// Jobs that may be dispatched.
  FairQueue ready;
  /// Jobs that were dispatched before and may be again, oldest first.
  std::deque<JobId> retries;
  /// Jobs that wait for MarkReady.
  std::size_t unready = 0;

  FloorAccount floor;

  /// Queued jobs, ready or not.
  std::size_t size() const { return ready.size() + retries.size() + unready; }
  bool has_dispatchable() const { return ready.size() + retries.size() != 0; }

  /// Smoothed time for which one request takes a slot.
  Duration service_time() const { return service_time_; }
  /// Slots taken now.
  int in_flight() const { return in_flight_; }
  /// Moving average of the slots taken.
  double occupancy() const { return occupancy_; }

  void OnDispatch(Instant now);
  /// An attempt released its slot after `held`.
  void OnRelease(Duration held, Instant now);
  /// A response was received after `latency`.
  void OnResponse(Duration latency);

  /// Records whether work that may be dispatched is queued, for BackloggedFor.
  void UpdateBacklog(Instant now);
  /// Whether work has been queued throughout the last `span`.
  bool BackloggedFor(Duration span, Instant now) const;

  /// Records when work of the kind was last served, for taking turns with kinds
  /// of the same rank.
  void OnServed(std::uint64_t turn) { last_turn_ = turn; }
  std::uint64_t last_turn() const { return last_turn_; }

 private:
  void UpdateOccupancy(Instant now);

  std::string name_;
  Duration service_time_;
  int in_flight_ = 0;
  double occupancy_ = 0;
  Instant occupancy_at_{0};
  bool backlogged_ = false;
  Instant backlogged_since_{0};
  std::uint64_t last_turn_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_KIND_QUEUE_H_
