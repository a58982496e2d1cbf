#ifndef HEATHER_BENCH_DECISIONS_DECISION_COST_H_
#define HEATHER_BENCH_DECISIONS_DECISION_COST_H_

namespace heather_bench_decisions {

/// What one request costs a PoolQueue from arrival to answer.
struct DecisionCost {
  double nanoseconds = 0;
  /// Calls of operator new.
  double allocations = 0;
};

/// Measures the cost in a pool of 12 servers with 6 slots each that has
/// `queued` requests waiting.
DecisionCost MeasureDecisionCost(int queued);

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_DECISION_COST_H_
