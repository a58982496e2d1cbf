#include "token_budget.h"

#include <algorithm>

namespace heatherlever {

TokenBudget::TokenBudget(double share, double burst)
    : share_(share), burst_(burst), tokens_(burst) {}

void TokenBudget::Deposit() {
  tokens_ = std::min(burst_, tokens_ + share_);
}

bool TokenBudget::Withdraw() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace heatherlever
