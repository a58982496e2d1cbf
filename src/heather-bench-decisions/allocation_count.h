#ifndef HEATHER_BENCH_DECISIONS_ALLOCATION_COUNT_H_
#define HEATHER_BENCH_DECISIONS_ALLOCATION_COUNT_H_

#include <cstdint>

namespace heather_bench_decisions {

/// Calls of operator new in this program so far.
std::uint64_t AllocationCount();

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_ALLOCATION_COUNT_H_
