#ifndef HEATHERSTEER_STORE_READ_BACKOFF_H_
#define HEATHERSTEER_STORE_READ_BACKOFF_H_

#include "heatherlever/instant.h"

namespace heathersteer {

/// Paces a host's reads of the store while they fail. Load pattern: an outage
/// makes the news of every host old, and all of them turn to the store. The one
/// that reads for its failure domain goes on at an even pace, so that the end
/// of the outage is seen soon; the others, whom it will tell, try less and less
/// often.
class StoreReadBackoff {
 public:
  void Succeeded() { failures_ = 0; }
  void Failed() { ++failures_; }

  /// Whether the last read failed.
  bool failed() const { return failures_ > 0; }

  /// Pause after a failed read. `leads`: no other host reads for this one.
  heatherlever::Duration RetryDelay(bool leads) const;

 private:
  int failures_ = 0;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_STORE_READ_BACKOFF_H_
