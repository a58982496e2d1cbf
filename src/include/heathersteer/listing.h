#ifndef HEATHERSTEER_LISTING_H_
#define HEATHERSTEER_LISTING_H_

#include <cstdint>
#include <string>
#include <vector>

namespace heathersteer {

/// All entries of one kind in the platform's store, as of one read.
template <typename Entry>
struct Listing {
  /// Timeline of the store; see StoreVersion.
  std::uint64_t timeline = 0;
  std::vector<Entry> entries;
  /// Names of entries that can't be used, as other writers made them.
  std::vector<std::string> unusable = {};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_LISTING_H_
