#include "heatherlever/gossip_map.h"

#include <xxhash.h>

namespace heatherlever {
namespace {

std::uint64_t Digest(const GossipEntry& entry) {
  return XXH3_64bits_withSeed(entry.key.data(), entry.key.size(),
                              entry.version);
}

}  // namespace

bool GossipMap::Merge(const GossipEntry& entry) {
  const auto found = entries_.find(entry.key);
  if (found == entries_.end()) {
    entries_.emplace(entry.key, entry);
    digest_ ^= Digest(entry);
    return true;
  }
  if (entry.version <= found->second.version) {
    return false;
  }
  digest_ ^= Digest(found->second) ^ Digest(entry);
  found->second = entry;
  return true;
}

const GossipEntry* GossipMap::Find(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

}  // namespace heatherlever
