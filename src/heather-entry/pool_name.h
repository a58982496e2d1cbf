#ifndef HEATHER_ENTRY_POOL_NAME_H_
#define HEATHER_ENTRY_POOL_NAME_H_

#include <string>

namespace heather_entry {

/// A pool: the backend servers of one service in one region.
struct PoolName {
  std::string service;
  std::string region;

  auto operator<=>(const PoolName&) const = default;

  /// `service@region`, as messages, logs and the owner order use it.
  std::string Text() const { return service + "@" + region; }
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_POOL_NAME_H_
