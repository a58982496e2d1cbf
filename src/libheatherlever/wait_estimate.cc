#include "wait_estimate.h"

#include <algorithm>

#include "ranked_queue.h"

namespace heatherlever {
namespace {

// A kind that gets fewer slots than this counts as getting none.
constexpr double kMinSlots = 0.01;

double WorkUs(const KindQueue& kind, double jobs) {
  return jobs * static_cast<double>(kind.service_time().count());
}

// Jobs of the kind itself that are served first. Because of the round robin by
// caller, a caller with few jobs overtakes one with many.
double JobsAhead(const KindQueue& kind, const std::string& caller) {
  const double backlog = static_cast<double>(kind.ready.Backlog(caller)) + 1;
  const double callers = static_cast<double>(kind.ready.caller_count());
  const double rounds =
      backlog * callers + static_cast<double>(kind.retries.size());
  return std::min(static_cast<double>(kind.size()), rounds);
}

// Slots that a less urgent kind holds by its floor.
double FloorInUse(const RankedQueue& queue,
                  const KindQueue& kind,
                  double slots) {
  const double demand = kind.occupancy() + static_cast<double>(kind.size());
  return std::min(queue.FloorShare(kind) * slots, demand);
}

Duration Wait(double work_us, double slots) {
  const double wait_us = slots < kMinSlots
                             ? static_cast<double>(kMaxWait.count())
                             : work_us / slots;
  return std::min(kMaxWait, Duration(static_cast<std::int64_t>(wait_us)));
}

}  // namespace

Duration EstimateWait(const RankedQueue& queue,
                      const KindQueue& kind,
                      const std::string& caller,
                      int usable_slots,
                      int free_slots) {
  const double slots = usable_slots;
  const double own_work = WorkUs(kind, JobsAhead(kind, caller) + 1);
  double rank_work = own_work;
  double rank_slots = slots;
  bool none_ahead = kind.size() == 0;
  for (const auto& other : queue.kinds()) {
    if (other.get() == &kind) {
      continue;
    }
    if (other->rank > kind.rank) {
      rank_slots -= FloorInUse(queue, *other, slots);
      continue;
    }
    rank_work += WorkUs(*other, static_cast<double>(other->size()));
    none_ahead = none_ahead && other->size() == 0;
    if (other->rank < kind.rank) {
      rank_slots -= other->occupancy();
    }
  }
  if (none_ahead && free_slots > 0) {
    return Duration(0);
  }
  // The job is served by its rank or by its kind's floor, whichever is earlier.
  return std::min(Wait(rank_work, rank_slots),
                  Wait(own_work, queue.FloorShare(kind) * slots));
}

}  // namespace heatherlever
