#ifndef HEATHER_ENTRY_HEADROOM_PACE_H_
#define HEATHER_ENTRY_HEADROOM_PACE_H_

#include <map>
#include <string>

#include "heather-entry/pool_name.h"
#include "heatherlever/instant.h"

namespace heather_entry {

/// Decides when a summary of a pool's load is worth its bytes: every one
/// reaches every entry host.
class HeadroomPace {
 public:
  /// Whether to publish `payload` now: it differs from the one published last,
  /// or that one is about to become stale for its readers. Takes it as
  /// published if so.
  bool Due(const PoolName& pool,
           const std::string& payload,
           heatherlever::Instant now);

 private:
  struct Published {
    std::string payload;
    heatherlever::Instant at{0};
  };
  std::map<PoolName, Published> published_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_HEADROOM_PACE_H_
