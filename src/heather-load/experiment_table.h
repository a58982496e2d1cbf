#ifndef HEATHER_LOAD_EXPERIMENT_TABLE_H_
#define HEATHER_LOAD_EXPERIMENT_TABLE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace heather_load {

struct SettingResult;

/// The results as a table for people: means and 95 % confidence intervals.
std::string FormatExperiment(const std::vector<SettingResult>& results);

/// The results as JSON; an interval of one run has the half width null.
nlohmann::json ExperimentJson(const std::vector<SettingResult>& results);

}  // namespace heather_load

#endif  // HEATHER_LOAD_EXPERIMENT_TABLE_H_
