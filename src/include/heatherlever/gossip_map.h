#ifndef HEATHERLEVER_GOSSIP_MAP_H_
#define HEATHERLEVER_GOSSIP_MAP_H_

#include <cstdint>
#include <map>
#include <string>

#include "heatherlever/gossip_entry.h"

namespace heatherlever {

/// Entries by key, whose versions only go up.
class GossipMap {
 public:
  /// Takes an entry if it is newer than the one of its key. Returns whether.
  bool Merge(const GossipEntry& entry);

  /// The entry of a key; null if there is none.
  const GossipEntry* Find(const std::string& key) const;

  const std::map<std::string, GossipEntry>& entries() const { return entries_; }

  /// Equal for equal keys and versions, in whatever order they came.
  std::uint64_t digest() const { return digest_; }

 private:
  std::map<std::string, GossipEntry> entries_;
  std::uint64_t digest_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_GOSSIP_MAP_H_
