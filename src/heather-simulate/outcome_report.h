#ifndef HEATHER_SIMULATE_OUTCOME_REPORT_H_
#define HEATHER_SIMULATE_OUTCOME_REPORT_H_

#include <string>
#include <vector>

#include "heather-simulate/load_outcome.h"
#include "heather-simulate/load_pattern.h"

namespace heather_simulate {

/// An outcome with the name of the chooser that it came of.
struct NamedOutcome {
  std::string chooser;
  LoadOutcome outcome;
};

/// A table for people: by chooser and kind, how requests ended, then the rows
/// of the windows.
std::string FormatTable(const LoadPattern& pattern,
                        const std::vector<NamedOutcome>& outcomes);

/// The same as JSON.
std::string FormatJson(const LoadPattern& pattern,
                       const std::vector<NamedOutcome>& outcomes);

/// An SVG picture: share within the target over time, a line a chooser.
std::string FormatPlot(const LoadPattern& pattern,
                       const std::vector<NamedOutcome>& outcomes);

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_OUTCOME_REPORT_H_
