#ifndef HEATHERLEVER_BLOCK_DELTA_H_
#define HEATHERLEVER_BLOCK_DELTA_H_

#include <vector>

#include "heatherlever/block_spec.h"

namespace heatherlever {

/// A change of the client blocks from one configuration to the next.
struct BlockDelta {
  /// Blocks that go. The regions of these are not looked at.
  std::vector<BlockSpec> removed;
  /// Blocks that come. One with the address and the prefix length of a block
  /// that is there gives that block a new home region.
  std::vector<BlockSpec> added;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_BLOCK_DELTA_H_
