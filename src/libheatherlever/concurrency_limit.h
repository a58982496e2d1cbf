#ifndef HEATHERLEVER_CONCURRENCY_LIMIT_H_
#define HEATHERLEVER_CONCURRENCY_LIMIT_H_

#include "heatherlever/instant.h"
#include "heatherlever/pool_options.h"

namespace heatherlever {

/// Adaptive limit of the requests that one backend server runs at a time: at
/// least 1, at most its slots. A cold server starts low and its limit grows
/// only while it neither sheds nor slows.
class ConcurrencyLimit {
 public:
  /// Starts with all slots.
  ConcurrencyLimit(const PoolOptions& options, int slots);

  /// Requests that may run at the same time.
  int limit() const;

  /// Changes the number of slots.
  void SetSlots(int slots);

  /// Starts over with a share of the slots.
  void Restart(double share, Instant now);

  /// A response was received; `slowness` is the server's smoothed latency
  /// divided by the pool's median.
  void OnResponse(double slowness, Instant now);

  /// The server shed a request.
  void OnShed(Instant now);

 private:
  const PoolOptions* options_;
  int slots_;
  double limit_;
  Instant next_step_{0};
  Instant next_shrink_{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CONCURRENCY_LIMIT_H_
