#ifndef HEATHERLEVER_BLOCK_SPEC_H_
#define HEATHERLEVER_BLOCK_SPEC_H_

#include <cstdint>
#include <string>

namespace heatherlever {

/// A block of client addresses and its home region.
struct BlockSpec {
  /// First IPv4 address of the block, in host byte order.
  std::uint32_t address = 0;
  /// Length of the prefix, in bits, from 0 to 32.
  int prefix_length = 0;
  std::string region;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_BLOCK_SPEC_H_
