#ifndef HEATHER_SIMULATE_OUTCOME_REPORT_H_
#define HEATHER_SIMULATE_OUTCOME_REPORT_H_

#include <string>
#include <vector>

#include "heather-simulate/load_outcome.h"
#include "heather-simulate/load_pattern.h"

namespace heather_simulate {

/// An outcome and the name of its chooser.
struct NamedOutcome {
  std::string chooser;
  LoadOutcome outcome;
};

/// Formats a text table of outcomes by chooser and kind of work, then by
/// chooser and window.
std::string FormatTable(const LoadPattern& pattern,
                        const std::vector<NamedOutcome>& outcomes);

/// Formats the counts of FormatTable() as JSON.
std::string FormatJson(const LoadPattern& pattern,
                       const std::vector<NamedOutcome>& outcomes);

/// Formats an SVG plot of the share within the target over time, with one line
/// per chooser.
std::string FormatPlot(const LoadPattern& pattern,
                       const std::vector<NamedOutcome>& outcomes);

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_OUTCOME_REPORT_H_
