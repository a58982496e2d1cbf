#include "heathernet/rate_budget.h"

#include <algorithm>

namespace heathernet {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

RateBudget::RateBudget(double tokens_per_second, double burst)
    : tokens_per_second_(tokens_per_second), burst_(burst), tokens_(burst) {}

std::optional<heatherlever::Duration> RateBudget::Take(
    heatherlever::Instant now,
    heatherlever::Duration longest_wait) {
  const double earned = Seconds(now - updated_).count() * tokens_per_second_;
  tokens_ = std::min(burst_, tokens_ + earned);
  updated_ = now;
  const Seconds wait(std::max(0.0, (1.0 - tokens_) / tokens_per_second_));
  if (wait > longest_wait) {
    return std::nullopt;
  }
  tokens_ -= 1.0;
  // Rounded up, so that the token is there when the wait ends.
  return std::chrono::ceil<heatherlever::Duration>(wait);
}

}  // namespace heathernet
