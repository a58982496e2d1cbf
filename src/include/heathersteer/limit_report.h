#ifndef HEATHERSTEER_LIMIT_REPORT_H_
#define HEATHERSTEER_LIMIT_REPORT_H_

#include <cstdint>
#include <string>

#include "heatherlever/instant.h"

namespace heathersteer {

/// What one or several hosts know of a backend server's rate limit, and their
/// demand.
struct LimitReport {
  std::string server_id;
  /// Start of the server's incarnation.
  std::int64_t started_ms = 0;
  /// Limit in requests/s that the newest response stated; 0 if it stated none.
  double limit = 0;
  /// Time of that response; 0 if there was none lately.
  heatherlever::Instant observed_at{0};
  /// Requests/s that would be sent to the server without a limit.
  double demand = 0;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_LIMIT_REPORT_H_
