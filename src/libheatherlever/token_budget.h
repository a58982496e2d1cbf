#ifndef HEATHERLEVER_TOKEN_BUDGET_H_
#define HEATHERLEVER_TOKEN_BUDGET_H_

namespace heatherlever {

/// Tokens for retries and hedges: a share of recent traffic.
class TokenBudget {
 public:
  /// Starts full. `share` is gained for each request, up to `burst` tokens.
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
