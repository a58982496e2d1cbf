#include "heathersteer/server_change_log.h"

#include <xxhash.h>

#include <array>
#include <cstddef>
#include <set>

namespace heathersteer {
namespace {

// Maximum number of removals that are kept. Followers query about once a
// second, and at most some hundred servers are removed at once.
constexpr std::size_t kMaxRemovals = 1000;

// Excludes the end of the cold start, which every host computes by its own
// clock.
std::uint64_t Digest(const BackendServer& server, std::uint64_t seed) {
  std::uint64_t digest = seed;
  for (const std::string* text :
       {&server.id, &server.service, &server.address, &server.domain}) {
    digest = XXH3_64bits_withSeed(text->data(), text->size(), digest);
  }
  const std::array<std::int64_t, 4> numbers = {
      server.port, server.slots, server.draining ? 1 : 0, server.started_ms};
  return XXH3_64bits_withSeed(numbers.data(), sizeof(numbers), digest);
}

}  // namespace

void ServerChangeLog::Update(const std::vector<BackendServer>& servers) {
  ++sequence_;
  std::set<std::string> present;
  for (const BackendServer& server : servers) {
    present.insert(server.id);
    const auto [entry, added] = entries_.try_emplace(server.id);
    if (added || !SameState(entry->second.server, server)) {
      entry->second = {server, sequence_};
    } else {
      entry->second.server = server;
    }
  }
  std::erase_if(entries_, [&](const auto& entry) {
    const bool missing = !present.contains(entry.first);
    if (missing) {
      removed_.emplace(sequence_, entry.first);
    }
    return missing;
  });
  TrimRemovals();
  digest_ = 0;
  for (const auto& [id, entry] : entries_) {
    digest_ = Digest(entry.server, digest_);
  }
}

void ServerChangeLog::TrimRemovals() {
  while (removed_.size() > kMaxRemovals) {
    trimmed_through_ = removed_.begin()->first;
    removed_.erase(removed_.begin());
  }
}

ServerDelta ServerChangeLog::Since(std::uint64_t sequence) const {
  ServerDelta delta;
  delta.full = sequence <= trimmed_through_ || sequence > sequence_;
  for (const auto& [id, entry] : entries_) {
    if (delta.full || entry.changed_at > sequence) {
      delta.changed.push_back(entry.server);
    }
  }
  if (delta.full) {
    return delta;
  }
  for (auto removal = removed_.upper_bound(sequence); removal != removed_.end();
       ++removal) {
    // The server may have been added again under the same id.
    if (!entries_.contains(removal->second)) {
      delta.removed.push_back(removal->second);
    }
  }
  return delta;
}

}  // namespace heathersteer
