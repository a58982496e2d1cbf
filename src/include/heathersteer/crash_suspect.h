#ifndef HEATHERSTEER_CRASH_SUSPECT_H_
#define HEATHERSTEER_CRASH_SUSPECT_H_

#include <cstdint>
#include <vector>

#include "heatherlever/instant.h"

namespace heathersteer {

/// End of a backend server while it ran a request.
struct ServerCrash {
  /// Identifies the server's incarnation.
  std::uint64_t incarnation = 0;
  heatherlever::Instant at{0};
};

/// A request that was running when servers ended, and may be the cause.
struct CrashSuspect {
  /// Equal for all attempts of the same request.
  std::uint64_t fingerprint = 0;
  /// At most one a server; the newest ones.
  std::vector<ServerCrash> crashes;
  /// Time at which a server last completed it; 0 if none has. Crashes before
  /// count no longer.
  heatherlever::Instant cleared_at{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_CRASH_SUSPECT_H_
