#ifndef HEATHERSTEER_RETRY_BUDGET_H_
#define HEATHERSTEER_RETRY_BUDGET_H_

#include <deque>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Bounds of the retries that one service may get from all hosts together.
struct RetryBudgetOptions {
  /// Retries for each request in the window.
  double ratio = 0.2;
  /// Additional retries in the window, from all hosts together.
  double extra = 0;
  heatherlever::Duration window = std::chrono::seconds(10);
};

/// This host's share of a service's retries: `ratio` of its own requests in the
/// last window, and its part of `extra`.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  void set_options(const RetryBudgetOptions& options) { options_ = options; }

  void CountRequest(heatherlever::Instant now);

  /// Counts a retry if the budget allows it, and returns whether it does.
  /// `host_count` hosts share `extra`; 0 while it isn't known, and this host
  /// has no part of it.
  bool TryRetry(heatherlever::Instant now, int host_count);

 private:
  void Expire(heatherlever::Instant now);

  RetryBudgetOptions options_;
  std::deque<heatherlever::Instant> requests_;
  std::deque<heatherlever::Instant> retries_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_RETRY_BUDGET_H_
