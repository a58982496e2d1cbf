#ifndef HEATHERLEVER_RATE_BUDGET_H_
#define HEATHERLEVER_RATE_BUDGET_H_

#include "heatherlever/instant.h"

namespace heatherlever {

/// Token bucket for one host's part of a total rate (requests or bytes a
/// second). Over any time t the host spends at most its part of the rate times
/// (t + depth), plus any overdraft: an amount larger than the bucket may be
/// spent when the bucket is full, and Charge spends in any case. Later spending
/// waits until the overdraft is refilled.
class RateBudget {
 public:
  /// `total_rate` units a second, divided by the configured maximum number of
  /// hosts (at least 1). The bucket holds the tokens of the time `depth`.
  RateBudget(double total_rate, int max_hosts, Duration depth);

  /// Whether `amount` units are available, or the bucket is full.
  bool CanSpend(double amount, Instant now) const;

  /// Spends `amount` if CanSpend; otherwise spends nothing and returns false.
  bool TrySpend(double amount, Instant now);

  /// Spends `amount` in any case, such as bytes that were already sent.
  void Charge(double amount, Instant now);

  /// Time until CanSpend becomes true if nothing else is spent;
  /// Duration::max() if the rate is 0.
  Duration TimeUntil(double amount, Instant now) const;

  /// This host's part of the rate, in units a second.
  double rate() const { return rate_; }

 private:
  double TokensAt(Instant now) const;

  double rate_;
  double capacity_;
  double tokens_;
  Instant updated_{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_RATE_BUDGET_H_
