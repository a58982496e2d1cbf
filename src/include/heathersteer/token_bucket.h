#ifndef HEATHERSTEER_TOKEN_BUCKET_H_
#define HEATHERSTEER_TOKEN_BUCKET_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Token bucket whose rate may change at any time. An event takes one token.
class TokenBucket {
 public:
  /// Sets the number of tokens.
  void Reset(double tokens, heatherlever::Instant now);

  /// Adds the tokens of the time since the last call, at `rate_per_s`, up to
  /// one token and those of a short burst.
  void Refill(double rate_per_s, heatherlever::Instant now);

  bool has_token() const { return tokens_ >= 1; }

  /// Time until there is a token at `rate_per_s`; Duration::max() at rate 0.
  heatherlever::Duration TimeToToken(double rate_per_s) const;

  void Take() { tokens_ -= 1; }

 private:
  double tokens_ = 0;
  heatherlever::Instant refilled_at_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_TOKEN_BUCKET_H_
