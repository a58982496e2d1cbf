#include "heatherlever/pool_assignment.h"

#include <algorithm>
#include <bit>

namespace heatherlever {

namespace {

constexpr std::uint32_t kBuddyBit = 2;

}  // namespace

bool IsQuorum(std::size_t count, std::uint32_t mask) {
  if (count == 2) {
    return (mask & kBuddyBit) != 0;
  }
  return static_cast<std::size_t>(std::popcount(mask)) * 2 > count;
}

std::uint32_t MemberBit(const PoolTerm& term, const HostId& host) {
  const auto found = std::find(term.members.begin(), term.members.end(), host);
  if (found == term.members.end()) {
    return 0;
  }
  return 1U << (found - term.members.begin());
}

}  // namespace heatherlever
