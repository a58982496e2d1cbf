#ifndef HEATHER_BENCH_PLACEMENT_ALLOCATION_COUNTER_H_
#define HEATHER_BENCH_PLACEMENT_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace heather_bench_placement {

/// Calls of operator new in this process so far.
std::uint64_t AllocationCount();

}  // namespace heather_bench_placement

#endif  // HEATHER_BENCH_PLACEMENT_ALLOCATION_COUNTER_H_
