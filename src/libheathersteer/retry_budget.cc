#include "heathersteer/retry_budget.h"

#include <algorithm>

namespace heathersteer {
namespace {

using heatherlever::Instant;

// Part of the bound that is used: the hosts' shares of requests and of the
// extra are estimates, and their windows differ.
constexpr double kUsedShare = 0.7;

}  // namespace

void RetryBudget::CountRequest(Instant now) {
  Expire(now);
  requests_.push_back(now);
}

bool RetryBudget::TryRetry(Instant now, int hosts) {
  Expire(now);
  const double allowed =
      options_.ratio * static_cast<double>(requests_.size()) +
      options_.extra / std::max(1, hosts);
  if (static_cast<double>(retries_.size()) + 1 > kUsedShare * allowed) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

void RetryBudget::Expire(Instant now) {
  const auto drop_old = [&](std::deque<Instant>& instants) {
    while (!instants.empty() && instants.front() + options_.window <= now) {
      instants.pop_front();
    }
  };
  drop_old(requests_);
  drop_old(retries_);
}

}  // namespace heathersteer
