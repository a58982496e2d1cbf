#ifndef HEATHERLEVER_POOL_OPTIONS_H_
#define HEATHERLEVER_POOL_OPTIONS_H_

#include <cstddef>

#include "heatherlever/instant.h"

namespace heatherlever {

/// Order in which the idempotent requests of one caller leave the queue.
enum class QueueOrder {
  kFifo,
  /// First in, first out; last in, first out while the queue is overloaded.
  kAdaptiveLifo,
};

/// How the limit of a backend server's concurrent requests adapts.
enum class LimitPolicy {
  /// All slots, always.
  kFixed,
  /// Scaled down as the server's latency rises above `slow_multiple` times the
  /// pool's median, and with each burst of sheds; grows slowly otherwise.
  kGradient,
};

/// Settings of a PoolQueue. The defaults suit service times of 10 to 100 ms.
struct PoolOptions {
  /// Requests that may wait in the queue.
  std::size_t max_queue = 4096;
  QueueOrder queue_order = QueueOrder::kFifo;
  /// The queue counts as overloaded after it has not been empty this long.
  Duration overload_after = std::chrono::milliseconds(100);

  /// Time reserved before the deadline for running a request that has to wait,
  /// in expected service times.
  double admission_service_times = 3;
  /// A request is admitted if its expected wait is at most this share of the
  /// time that it can wait; the rest covers errors of the estimate.
  double admission_wait_share = 0.3;

  /// Maximum number of attempts of one request.
  int max_attempts = 3;
  /// Retries and hedges allowed, as a share of the requests admitted.
  double retry_share = 0.1;
  /// Retries and hedges that may be saved up for a burst.
  double retry_burst = 10;
  /// An attempt is overdue after this many expected service times: idempotent
  /// work is hedged while slots are free, and a failure is counted for a server
  /// that has not responded to anything since the attempt started.
  double overdue_service_times = 4;
  /// Whether overdue idempotent work is hedged.
  bool hedge = true;

  /// Time for which the slot of an attempt that may still run stays taken
  /// after the attempt's deadline, unless the server confirms its end.
  Duration slot_quarantine = std::chrono::milliseconds(500);

  LimitPolicy limit_policy = LimitPolicy::kGradient;
  /// Share of a cold server's slots that are used at first; at least one slot.
  double cold_share = 0.25;
  /// Share of each server's slots that a new owner of the pool uses at first;
  /// at least one slot.
  double adopted_share = 0.5;
  /// Minimum time between two adjustments of a server's limit.
  Duration growth_interval = std::chrono::milliseconds(250);
  /// A server is slow if its smoothed latency is above this multiple of the
  /// pool's median.
  double slow_multiple = 2;

  /// Consecutive failures after which a server is ejected.
  int eject_after_failures = 3;
  /// A server is ejected if its smoothed latency is above this multiple of the
  /// pool's median.
  double eject_latency_multiple = 4;
  /// Maximum share of the pool's servers that are ejected at the same time. One
  /// server may be ejected in any case if the pool has another.
  double max_ejected_share = 0.34;
  /// Duration of the first ejection; each further one lasts twice as long, up
  /// to max_ejection_time.
  Duration base_ejection_time = std::chrono::seconds(1);
  Duration max_ejection_time = std::chrono::seconds(30);
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_OPTIONS_H_
