#ifndef HEATHERNET_BACKOFF_H_
#define HEATHERNET_BACKOFF_H_

#include <random>

#include "heatherlever/instant.h"

namespace heathernet {

/// Exponential back-off with full jitter: the delay before repeat n (from 0)
/// is uniform between 0 and base * 2^n, at most `limit`.
class Backoff {
 public:
  Backoff(heatherlever::Duration base, heatherlever::Duration limit)
      : base_(base), limit_(limit) {}

  heatherlever::Duration Delay(int repeat, std::mt19937_64& generator) const;

 private:
  heatherlever::Duration base_;
  heatherlever::Duration limit_;
};

}  // namespace heathernet

#endif  // HEATHERNET_BACKOFF_H_
