#include "neighbor_selection.h"

#include <xxhash.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace heatherlever {
namespace {

// A host's place on a ring, which every host computes alike.
using Place = std::pair<std::uint64_t, std::string>;

Place PlaceOnRing(const std::string& id, std::uint64_t ring) {
  return {XXH3_64bits_withSeed(id.data(), id.size(), ring), id};
}

bool InService(const MemberTable::Member& member) {
  const MemberState state = member.state();
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

// Adds the candidate that follows `self` on a ring.
void TakeSuccessor(const std::vector<std::string>& candidates,
                   const std::string& self,
                   std::uint64_t ring,
                   std::set<std::string>& taken) {
  const Place own = PlaceOnRing(self, ring);
  std::optional<Place> next;
  std::optional<Place> first;
  for (const std::string& id : candidates) {
    if (taken.count(id) != 0) {
      continue;
    }
    const Place place = PlaceOnRing(id, ring);
    if (!first || place < *first) {
      first = place;
    }
    if (own < place && (!next || place < *next)) {
      next = place;
    }
  }
  if (!first) {
    return;
  }
  taken.insert(next ? next->second : first->second);
}

}  // namespace

std::set<std::string> SelectNeighbors(const MemberTable& table,
                                      const MemberRecord& self,
                                      const MembershipOptions& options) {
  std::vector<std::string> inside;
  std::vector<std::string> outside;
  for (const auto& [id, member] : table.members()) {
    if (id != self.id && InService(member)) {
      (member.record.region == self.region ? inside : outside).push_back(id);
    }
  }
  // The successors on several rings of independent orders form a random graph
  // in which each host has about as many predecessors as successors: news
  // crosses it in a number of steps that grows with the logarithm of its size,
  // and no host carries much more than another.
  std::set<std::string> taken;
  std::uint64_t ring = 0;
  for (std::size_t i = 0; i < options.region_neighbors; ++i) {
    TakeSuccessor(inside, self.id, ring++, taken);
  }
  for (std::size_t i = 0; i < options.outside_neighbors; ++i) {
    TakeSuccessor(outside, self.id, ring++, taken);
  }
  return taken;
}

}  // namespace heatherlever
