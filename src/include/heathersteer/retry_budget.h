#ifndef HEATHERSTEER_RETRY_BUDGET_H_
#define HEATHERSTEER_RETRY_BUDGET_H_

#include <deque>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Bounds of the repeats that one service may get from all hosts together.
struct RetryBudgetOptions {
  /// Repeats for each request in the window.
  double ratio = 0.2;
  /// Repeats in the window beyond that, from all hosts together.
  double extra = 0;
  heatherlever::Duration window = std::chrono::seconds(10);
};

/// This host's share of a service's repeats: `ratio` of its own requests in the
/// last window, and its part of `extra`.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  void set_options(const RetryBudgetOptions& options) { options_ = options; }

  void CountRequest(heatherlever::Instant now);

  /// Counts a repeat if the budget allows it; `hosts` share the extra.
  bool TryRetry(heatherlever::Instant now, int hosts);

 private:
  void Expire(heatherlever::Instant now);

  RetryBudgetOptions options_;
  std::deque<heatherlever::Instant> requests_;
  std::deque<heatherlever::Instant> retries_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_RETRY_BUDGET_H_
