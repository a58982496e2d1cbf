#include "heatherlever/pool_assignment.h"

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

}  // namespace heatherlever
