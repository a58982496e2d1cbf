#include "heathernet/backoff.h"

#include <algorithm>

namespace heathernet {
namespace {

// Keeps base * 2^n within 64 bits for every base below a day.
constexpr int kMaxDoublings = 20;

}  // namespace

heatherlever::Duration Backoff::Delay(int repeat,
                                      std::mt19937_64& generator) const {
  const int doublings = std::min(repeat, kMaxDoublings);
  const heatherlever::Duration longest =
      std::min(limit_, base_ * (std::int64_t{1} << doublings));
  std::uniform_int_distribution<heatherlever::Duration::rep> jitter(
      0, longest.count());
  return heatherlever::Duration(jitter(generator));
}

}  // namespace heathernet
