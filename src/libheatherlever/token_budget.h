#ifndef HEATHERLEVER_TOKEN_BUDGET_H_
#define HEATHERLEVER_TOKEN_BUDGET_H_

namespace heatherlever {

/// Token budget that limits retries and hedges to a share of recent traffic.
class TokenBudget {
 public:
  /// Starts full. Each request adds `share` tokens, up to `burst`.
  TokenBudget(double share, double burst);

  /// Counts one admitted request.
  void Deposit();

  /// Takes one token; returns false if there is none.
  bool Withdraw();

 private:
  double share_;
  double burst_;
  double tokens_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_TOKEN_BUDGET_H_
