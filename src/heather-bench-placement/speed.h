#ifndef HEATHER_BENCH_PLACEMENT_SPEED_H_
#define HEATHER_BENCH_PLACEMENT_SPEED_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace heather_bench_placement {

/// Speed and allocations of one operation on one core.
struct SpeedResult {
  std::string operation;
  double nanoseconds = 0;
  double allocations = 0;
};

/// Size and build time of a block table.
struct TableResult {
  std::size_t blocks = 0;
  double bytes_per_block = 0;
  double build_ms = 0;
  /// Time to apply a delta of 1,000 removed and 1,000 added blocks.
  double delta_ms = 0;
};

/// What the timings gave.
struct SpeedReport {
  TableResult table;
  std::vector<SpeedResult> operations;
};

/// Times decisions and look-ups over a table of `blocks` blocks.
SpeedReport MeasureSpeed(std::size_t blocks, std::uint64_t seed);

}  // namespace heather_bench_placement

#endif  // HEATHER_BENCH_PLACEMENT_SPEED_H_
