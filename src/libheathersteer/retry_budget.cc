#include "heathersteer/retry_budget.h"

namespace heathersteer {
namespace {

using heatherlever::Instant;

// Share of the bound that is used: the hosts' shares of the requests and of
// `extra` are estimates, and their windows differ.
constexpr double kUsedShare = 0.7;

}  // namespace

void RetryBudget::CountRequest(Instant now) {
  Expire(now);
  requests_.push_back(now);
}

bool RetryBudget::TryRetry(Instant now, int host_count) {
  Expire(now);
  const double extra = host_count > 0 ? options_.extra / host_count : 0;
  const double allowed =
      options_.ratio * static_cast<double>(requests_.size()) + extra;
  if (static_cast<double>(retries_.size()) + 1 > kUsedShare * allowed) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

void RetryBudget::Expire(Instant now) {
  const auto drop_expired = [&](std::deque<Instant>& instants) {
    while (!instants.empty() && instants.front() + options_.window <= now) {
      instants.pop_front();
    }
  };
  drop_expired(requests_);
  drop_expired(retries_);
}

}  // namespace heathersteer
