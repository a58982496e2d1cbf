#ifndef HEATHERLEVER_GOSSIP_ENTRY_H_
#define HEATHERLEVER_GOSSIP_ENTRY_H_

#include <cstdint>
#include <string>

namespace heatherlever {

/// A small value that every entry host should come to know, such as the newest
/// configuration version or the load of a pool.
struct GossipEntry {
  std::string key;
  /// A higher version replaces a lower one; one key has one writer at a time,
  /// or versions from the platform's store.
  std::uint64_t version = 0;
  std::string payload;
  /// Passed on at once instead of with the next probe.
  bool urgent = false;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_GOSSIP_ENTRY_H_
