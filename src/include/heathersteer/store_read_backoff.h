#ifndef HEATHERSTEER_STORE_READ_BACKOFF_H_
#define HEATHERSTEER_STORE_READ_BACKOFF_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Backoff of a host's reads of the store while they fail. In an outage the
/// state of every host becomes stale, and all hosts read the store. The host
/// that reads for its failure domain retries at a constant interval, so that it
/// sees the end of the outage soon; the others, which it will notify, back off
/// exponentially.
class StoreReadBackoff {
 public:
  void Succeeded() { failures_ = 0; }
  void Failed() { ++failures_; }

  /// Whether the last read failed.
  bool failed() const { return failures_ > 0; }

  /// Delay until the next read after a failed one. `is_reader`: no other host
  /// reads the store for this one.
  heatherlever::Duration RetryDelay(bool is_reader) const;

 private:
  int failures_ = 0;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_STORE_READ_BACKOFF_H_
