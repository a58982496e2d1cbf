#ifndef HEATHER_LOAD_EXPERIMENT_REPORT_H_
#define HEATHER_LOAD_EXPERIMENT_REPORT_H_

#include <string>
#include <vector>

namespace heather_load {

struct SettingResult;

/// A page with SVG plots that loads nothing else: latency by rank, and
/// requests by outcome over time.
std::string ExperimentPage(const std::vector<SettingResult>& results);

}  // namespace heather_load

#endif  // HEATHER_LOAD_EXPERIMENT_REPORT_H_
