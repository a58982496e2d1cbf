#include "neighbor_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace heatherlever {
namespace {

using Scored = std::pair<std::uint64_t, std::string>;

// Adds the `count` candidates of the highest score.
void TakeHighest(std::vector<Scored>& candidates,
                 std::size_t count,
                 std::set<std::string>& taken) {
  const std::size_t size = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(size),
                    candidates.end(), std::greater<>());
  for (std::size_t i = 0; i < size; ++i) {
    taken.insert(candidates[i].second);
  }
}

}  // namespace

std::set<std::string> SelectNeighbors(const MemberTable& table,
                                      const MemberRecord& self,
                                      const MembershipOptions& options) {
  // Each host orders the others by its own hash, so that the neighbors of all
  // form a random graph: news crosses it in a number of steps that grows with
  // the logarithm of its size.
  const std::uint64_t seed = XXH3_64bits(self.id.data(), self.id.size());
  std::vector<Scored> inside;
  std::vector<Scored> outside;
  for (const auto& [id, member] : table.members()) {
    const MemberState state = member.state();
    if (id == self.id || state == MemberState::kDead ||
        state == MemberState::kLeaving) {
      continue;
    }
    auto& group = member.record.region == self.region ? inside : outside;
    group.emplace_back(XXH3_64bits_withSeed(id.data(), id.size(), seed), id);
  }
  std::set<std::string> taken;
  TakeHighest(inside, options.region_neighbors, taken);
  TakeHighest(outside, options.outside_neighbors, taken);
  return taken;
}

}  // namespace heatherlever
