#ifndef HEATHER_PLANNER_PLANNER_SETTINGS_H_
#define HEATHER_PLANNER_PLANNER_SETTINGS_H_

#include <absl/status/statusor.h>

#include <string>

#include "heatherlever/instant.h"
#include "heatherlever/lease.h"
#include "heathernet/platform_settings.h"

namespace heather_planner {

/// Settings of a planner, from its YAML file; docs/CONFIGURATION.md lists the
/// keys.
struct PlannerSettings {
  /// Unique among the planners.
  std::string name;
  heathernet::PlatformSettings platform;
  heatherlever::LeaseSettings lease;
  /// Time between two looks at the platform.
  heatherlever::Duration interval{0};
  /// A host has to be off the list this long before it leaves the epoch.
  heatherlever::Duration missing_time{0};
  std::string log_level;
};

/// Reads the settings. An InvalidArgument status names file, line, what was
/// expected and what was found.
absl::StatusOr<PlannerSettings> LoadPlannerSettings(const std::string& path);

}  // namespace heather_planner

#endif  // HEATHER_PLANNER_PLANNER_SETTINGS_H_
