#ifndef HEATHERNET_PLATFORM_STATISTICS_H_
#define HEATHERNET_PLATFORM_STATISTICS_H_

#include <cstdint>

namespace heathernet {

/// Counts of one PlatformClient since it was made.
struct PlatformStatistics {
  /// Requests sent, repeats included.
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  /// Requests without an answer, or with a server error.
  std::uint64_t failed_requests = 0;
  /// Conditional writes by outcome.
  std::uint64_t written = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t unavailable = 0;
  /// Writes whose answer was lost, settled by reading back.
  std::uint64_t settled_written = 0;
  std::uint64_t settled_conflict = 0;
  /// Calls that ended because the budget did not allow a request in time.
  std::uint64_t over_budget = 0;
};

}  // namespace heathernet

#endif  // HEATHERNET_PLATFORM_STATISTICS_H_
