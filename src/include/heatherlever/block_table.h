#ifndef HEATHERLEVER_BLOCK_TABLE_H_
#define HEATHERLEVER_BLOCK_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "heatherlever/block_delta.h"
#include "heatherlever/block_spec.h"

namespace heatherlever {

/// Finds the home region of a client by the longest matching prefix. Blocks
/// lie in flat sorted arrays of 7 bytes a block, beside a fixed index of
/// 256 KiB.
class BlockTable {
 public:
  /// A table without blocks or regions.
  BlockTable();

  /// Builds the table. A region's index is its position in `region_names`.
  /// Returns InvalidArgument for an unknown region, a prefix length outside
  /// 0 to 32, address bits beyond the prefix, or a block that is listed twice.
  static absl::StatusOr<BlockTable> Build(
      const std::vector<BlockSpec>& blocks,
      const std::vector<std::string>& region_names);

  /// The index of the home region of an address in host byte order; nothing
  /// if no block holds it. Allocates nothing.
  std::optional<std::size_t> Find(std::uint32_t address) const;

  /// Changes the table to what Build makes of the changed blocks. Returns
  /// InvalidArgument as Build does, or NotFound for a removed block that is
  /// not there; the table is unchanged then.
  absl::Status Apply(const BlockDelta& delta);

  /// Number of blocks.
  std::size_t size() const { return addresses_.size(); }

  /// Bytes that the table's arrays hold, unused capacity included.
  std::size_t memory_bytes() const;

  friend bool operator==(const BlockTable& a, const BlockTable& b);

 private:
  struct Block {
    std::uint32_t address;
    std::uint8_t length;
    std::uint16_t region;
  };

  absl::StatusOr<Block> ToBlock(const BlockSpec& spec) const;
  absl::StatusOr<std::vector<Block>> ToSortedBlocks(
      const std::vector<BlockSpec>& specs) const;
  absl::Status CheckRemoved(const std::vector<BlockSpec>& removed) const;
  // Index of the block, or nothing.
  std::optional<std::size_t> IndexOf(std::uint32_t address,
                                     int length,
                                     std::size_t end) const;
  // Number of blocks whose address is at most `address`.
  std::size_t UpperBound(std::uint32_t address) const;
  void Remove(const std::vector<BlockSpec>& removed);
  void Insert(const std::vector<Block>& added);
  void Reserve(std::size_t count);
  void Resize(std::size_t count);
  void Store(std::size_t index, const Block& block);
  void Move(std::size_t from, std::size_t to);
  void RebuildIndex();

  std::vector<std::string> region_names_;
  // The blocks in order of address, then length.
  std::vector<std::uint32_t> addresses_;
  std::vector<std::uint8_t> lengths_;
  std::vector<std::uint16_t> regions_;
  // Bit n is set if a block has prefix length n.
  std::uint64_t length_mask_ = 0;
  // For each value of an address's upper 16 bits, the first block at or after
  // it; one more entry ends the last range.
  std::vector<std::uint32_t> index_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_BLOCK_TABLE_H_
