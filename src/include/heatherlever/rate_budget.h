#ifndef HEATHERLEVER_RATE_BUDGET_H_
#define HEATHERLEVER_RATE_BUDGET_H_

#include "heatherlever/instant.h"

namespace heatherlever {

/// One host's part of an absolute cap (requests or bytes a second): a token
/// bucket. Over any time t the host spends at most its part of the rate times
/// (t + depth), plus what Charge took beyond the bucket; later spending waits
/// until that debt is paid.
class RateBudget {
 public:
  /// `total_rate` units a second, divided by the configured maximum number of
  /// hosts (at least 1), with a bucket that holds what flows in during `depth`.
  RateBudget(double total_rate, int max_hosts, Duration depth);

  /// Whether `amount` units are there.
  bool Has(double amount, Instant now) const;

  /// Spends `amount` if it is there; otherwise spends nothing and returns
  /// false.
  bool TrySpend(double amount, Instant now);

  /// Spends `amount` in any case, such as bytes that were already sent.
  void Charge(double amount, Instant now);

  /// Time until `amount` will be there if nothing else is spent. Amounts above
  /// the bucket's size give the time until the bucket is full.
  Duration Until(double amount, Instant now) const;

  /// This host's part of the rate, in units a second.
  double rate() const { return rate_; }

 private:
  double TokensAt(Instant now) const;

  double rate_;
  double size_;
  double tokens_;
  Instant updated_{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_RATE_BUDGET_H_
