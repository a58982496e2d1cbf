#ifndef HEATHERSTEER_STORE_VERSION_H_
#define HEATHERSTEER_STORE_VERSION_H_

#include <compare>
#include <cstdint>

namespace heathersteer {

/// Version of the platform's store. A restore from an older copy begins a new
/// timeline, in which numbers are given out again; so numbers are comparable
/// within one timeline only, and a later timeline is newer.
struct StoreVersion {
  /// 0 while unknown.
  std::uint64_t timeline = 0;
  std::uint64_t number = 0;

  auto operator<=>(const StoreVersion&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_STORE_VERSION_H_
