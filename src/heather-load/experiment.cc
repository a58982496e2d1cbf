#include "heather-load/experiment.h"

#include <filesystem>

#include "heatherlever/settings_error.h"
#include "libheatherlever/yaml_map.h"

namespace heather_load {
namespace {

using heatherlever::YamlMap;

constexpr int kMaxRuns = 1000;
constexpr int kDefaultRuns = 5;
constexpr std::size_t kMaxSettings = 2;

Experiment::Setting ReadSetting(YamlMap& map, const std::string& path) {
  Experiment::Setting setting;
  setting.name = map.Text("name");
  const auto file =
      std::filesystem::path(path).parent_path() / map.Text("load");
  auto plan = LoadLoadPlan(file.string());
  if (!plan.ok()) {
    map.Fail("load", std::string(plan.status().message()));
  }
  setting.plan = *std::move(plan);
  map.Finish();
  return setting;
}

Experiment Read(YamlMap& map, const std::string& path) {
  Experiment experiment;
  experiment.runs =
      static_cast<int>(map.NumberOr("runs", 1, kMaxRuns, kDefaultRuns));
  for (YamlMap& setting : map.Maps("settings", "setting")) {
    experiment.settings.push_back(ReadSetting(setting, path));
  }
  if (experiment.settings.empty() ||
      experiment.settings.size() > kMaxSettings) {
    map.Fail("settings", "one or two settings are wanted, found " +
                             std::to_string(experiment.settings.size()));
  }
  map.Finish();
  return experiment;
}

}  // namespace

absl::StatusOr<Experiment> Experiment::Load(const std::string& path) {
  try {
    YamlMap map = YamlMap::ParseFile(path);
    return Read(map, path);
  } catch (const heatherlever::SettingsError& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace heather_load
