#include "heatherlever/block_table.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <limits>
#include <tuple>

namespace heatherlever {
namespace {

constexpr int kAddressBits = 32;
// A prefix length that no block has.
constexpr std::uint8_t kRemovedLength = kAddressBits + 1;
constexpr int kIndexBits = 16;
constexpr std::size_t kIndexRanges = std::size_t{1} << kIndexBits;

// Spare capacity is 1 block in 64, so that most changes move no array.
constexpr std::size_t kSpareDivisor = 64;

std::uint32_t Mask(int length) {
  return length == 0 ? 0
                     : std::numeric_limits<std::uint32_t>::max()
                           << (kAddressBits - length);
}

std::string BlockText(const BlockSpec& block) {
  std::string text;
  for (int shift = kAddressBits - 8; shift >= 0; shift -= 8) {
    text += std::to_string((block.address >> shift) & 0xff);
    text += shift == 0 ? "/" : ".";
  }
  return text + std::to_string(block.prefix_length);
}

bool IsPrefix(const BlockSpec& block) {
  return block.prefix_length >= 0 && block.prefix_length <= kAddressBits &&
         (block.address & ~Mask(block.prefix_length)) == 0;
}

absl::Status NotAPrefix(const BlockSpec& block) {
  return absl::InvalidArgumentError(
      "client block " + BlockText(block) +
      ": a length of 0 to 32 and no address bits beyond it were expected");
}

}  // namespace

BlockTable::BlockTable() {
  RebuildIndex();
}

absl::StatusOr<BlockTable> BlockTable::Build(
    const std::vector<BlockSpec>& blocks,
    const std::vector<std::string>& region_names) {
  BlockTable table;
  table.region_names_ = region_names;
  const absl::Status status = table.Apply({{}, blocks});
  if (!status.ok()) {
    return status;
  }
  if (table.size() != blocks.size()) {
    return absl::InvalidArgumentError(
        "client blocks: " + std::to_string(blocks.size() - table.size()) +
        " of " + std::to_string(blocks.size()) + " are listed twice");
  }
  return table;
}

// The last block that starts at or before the address is the longest match if
// it holds the address. Otherwise every block that holds the address also holds
// that block's start, so its prefix is no longer than what both have in common:
// only those lengths are looked up, the longest first.
std::optional<std::size_t> BlockTable::Find(std::uint32_t address) const {
  const std::size_t end = UpperBound(address);
  if (end == 0) {
    return std::nullopt;
  }
  const std::size_t last = end - 1;
  const std::uint32_t difference = addresses_[last] ^ address;
  if ((difference & Mask(lengths_[last])) == 0) {
    return regions_[last];
  }
  const int common = std::countl_zero(difference);
  std::uint64_t lengths = length_mask_ & ((std::uint64_t{2} << common) - 1);
  while (lengths != 0) {
    const int length = static_cast<int>(std::bit_width(lengths)) - 1;
    if (const auto found = IndexOf(address & Mask(length), length, end)) {
      return regions_[*found];
    }
    lengths &= ~(std::uint64_t{1} << length);
  }
  return std::nullopt;
}

absl::Status BlockTable::Apply(const BlockDelta& delta) {
  const auto added = ToSortedBlocks(delta.added);
  if (!added.ok()) {
    return added.status();
  }
  if (absl::Status status = CheckRemoved(delta.removed); !status.ok()) {
    return status;
  }
  Remove(delta.removed);
  Insert(*added);
  RebuildIndex();
  return absl::OkStatus();
}

std::size_t BlockTable::memory_bytes() const {
  return addresses_.capacity() * sizeof(addresses_[0]) +
         lengths_.capacity() * sizeof(lengths_[0]) +
         regions_.capacity() * sizeof(regions_[0]) +
         index_.capacity() * sizeof(index_[0]);
}

bool operator==(const BlockTable& a, const BlockTable& b) {
  return std::tie(a.region_names_, a.addresses_, a.lengths_, a.regions_,
                  a.length_mask_, a.index_) ==
         std::tie(b.region_names_, b.addresses_, b.lengths_, b.regions_,
                  b.length_mask_, b.index_);
}

absl::StatusOr<BlockTable::Block> BlockTable::ToBlock(
    const BlockSpec& spec) const {
  if (!IsPrefix(spec)) {
    return NotAPrefix(spec);
  }
  const auto region =
      std::find(region_names_.begin(), region_names_.end(), spec.region);
  if (region == region_names_.end()) {
    return absl::InvalidArgumentError("client block " + BlockText(spec) +
                                      ": no region is named '" + spec.region +
                                      "'");
  }
  return Block{spec.address, static_cast<std::uint8_t>(spec.prefix_length),
               static_cast<std::uint16_t>(region - region_names_.begin())};
}

absl::StatusOr<std::vector<BlockTable::Block>> BlockTable::ToSortedBlocks(
    const std::vector<BlockSpec>& specs) const {
  std::vector<Block> blocks;
  blocks.reserve(specs.size());
  for (const BlockSpec& spec : specs) {
    const auto block = ToBlock(spec);
    if (!block.ok()) {
      return block.status();
    }
    blocks.push_back(*block);
  }
  const auto key = [](const Block& block) {
    return std::tie(block.address, block.length);
  };
  std::sort(blocks.begin(), blocks.end(),
            [&](const Block& a, const Block& b) { return key(a) < key(b); });
  const auto twice = std::adjacent_find(
      blocks.begin(), blocks.end(),
      [&](const Block& a, const Block& b) { return key(a) == key(b); });
  if (twice != blocks.end()) {
    return absl::InvalidArgumentError(
        "client block " + BlockText({twice->address, twice->length, ""}) +
        " is listed twice");
  }
  return blocks;
}

absl::Status BlockTable::CheckRemoved(
    const std::vector<BlockSpec>& removed) const {
  for (const BlockSpec& block : removed) {
    if (!IsPrefix(block)) {
      return NotAPrefix(block);
    }
    if (!IndexOf(block.address, block.prefix_length, size())) {
      return absl::NotFoundError("client block " + BlockText(block) +
                                 " is to be removed, but is not there");
    }
  }
  return absl::OkStatus();
}

std::optional<std::size_t> BlockTable::IndexOf(std::uint32_t address,
                                               int length,
                                               std::size_t end) const {
  // Blocks of the same upper bits only.
  const std::size_t range = address >> (kAddressBits - kIndexBits);
  const auto begin = addresses_.begin();
  const auto last = begin + static_cast<std::ptrdiff_t>(
                                std::min<std::size_t>(end, index_[range + 1]));
  const auto first = std::lower_bound(begin + index_[range], last, address);
  for (auto it = first; it != last && *it == address; ++it) {
    const auto index = static_cast<std::size_t>(it - begin);
    if (lengths_[index] == length) {
      return index;
    }
  }
  return std::nullopt;
}

std::size_t BlockTable::UpperBound(std::uint32_t address) const {
  const std::size_t range = address >> (kAddressBits - kIndexBits);
  const auto begin = addresses_.begin();
  return static_cast<std::size_t>(std::upper_bound(begin + index_[range],
                                                   begin + index_[range + 1],
                                                   address) -
                                  begin);
}

// Removed blocks are marked by kRemovedLength; then the rest moves together.
void BlockTable::Remove(const std::vector<BlockSpec>& removed) {
  std::vector<std::size_t> indexes;
  indexes.reserve(removed.size());
  for (const BlockSpec& block : removed) {
    if (const auto index =
            IndexOf(block.address, block.prefix_length, size())) {
      lengths_[*index] = kRemovedLength;
      indexes.push_back(*index);
    }
  }
  if (indexes.empty()) {
    return;
  }
  std::size_t kept = *std::min_element(indexes.begin(), indexes.end());
  for (std::size_t i = kept; i < size(); ++i) {
    if (lengths_[i] != kRemovedLength) {
      Move(i, kept++);
    }
  }
  Resize(kept);
  RebuildIndex();
}

// New blocks are merged in from the end, so that the arrays stay in place.
void BlockTable::Insert(const std::vector<Block>& added) {
  std::vector<Block> fresh;
  for (const Block& block : added) {
    if (const auto index = IndexOf(block.address, block.length, size())) {
      regions_[*index] = block.region;
    } else {
      fresh.push_back(block);
    }
  }
  std::size_t old_end = size();
  std::size_t write = old_end + fresh.size();
  Reserve(write);
  Resize(write);
  for (auto block = fresh.rbegin(); block != fresh.rend(); ++block) {
    while (old_end > 0 &&
           std::tie(addresses_[old_end - 1], lengths_[old_end - 1]) >
               std::tie(block->address, block->length)) {
      Move(--old_end, --write);
    }
    Store(--write, *block);
  }
}

void BlockTable::Reserve(std::size_t count) {
  if (count <= addresses_.capacity()) {
    return;
  }
  const std::size_t capacity = count + count / kSpareDivisor;
  addresses_.reserve(capacity);
  lengths_.reserve(capacity);
  regions_.reserve(capacity);
}

void BlockTable::Resize(std::size_t count) {
  addresses_.resize(count);
  lengths_.resize(count);
  regions_.resize(count);
}

void BlockTable::Store(std::size_t index, const Block& block) {
  addresses_[index] = block.address;
  lengths_[index] = block.length;
  regions_[index] = block.region;
}

void BlockTable::Move(std::size_t from, std::size_t to) {
  Store(to, {addresses_[from], lengths_[from], regions_[from]});
}

void BlockTable::RebuildIndex() {
  index_.assign(kIndexRanges + 1, static_cast<std::uint32_t>(size()));
  std::size_t block = 0;
  for (std::size_t range = 0; range < kIndexRanges; ++range) {
    while (block < size() &&
           addresses_[block] >> (kAddressBits - kIndexBits) < range) {
      ++block;
    }
    index_[range] = static_cast<std::uint32_t>(block);
  }
  length_mask_ = 0;
  for (const std::uint8_t length : lengths_) {
    length_mask_ |= std::uint64_t{1} << length;
  }
}

}  // namespace heatherlever
