#ifndef HEATHER_BENCH_DECISIONS_REPORT_H_
#define HEATHER_BENCH_DECISIONS_REPORT_H_

#include <ostream>
#include <vector>

#include "heather-bench-decisions/row.h"

namespace heather_bench_decisions {

/// Prints the heading of the table.
void PrintHeading(std::ostream& out);

/// Prints rows of the table.
void PrintRows(const std::vector<Row>& rows, std::ostream& out);

/// Prints the rows as one JSON array.
void PrintJson(const std::vector<Row>& rows, std::ostream& out);

/// Prints each target, what was measured for it, and whether it is met. Needs
/// the rows of the whole grid.
void PrintTargets(const std::vector<Row>& rows, std::ostream& out);

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_REPORT_H_
