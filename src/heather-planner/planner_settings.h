#ifndef HEATHER_PLANNER_PLANNER_SETTINGS_H_
#define HEATHER_PLANNER_PLANNER_SETTINGS_H_

#include <absl/status/statusor.h>

#include <string>

#include "heatherlever/instant.h"
#include "heatherlever/lease.h"
#include "heathernet/platform_settings.h"

namespace heather_planner {

/// Settings of one planner process, from a YAML file.
struct PlannerSettings {
  /// Name of the host that the planner runs on.
  std::string name;
  heathernet::PlatformSettings platform;
  heatherlever::LeaseSettings lease;
  /// How long the list of hosts has to differ from the epoch.
  heatherlever::Duration hysteresis = std::chrono::seconds(5);
  /// Time between two looks at the platform.
  heatherlever::Duration poll_interval = std::chrono::seconds(1);

  /// Reads settings. `file` names the text in messages. InvalidArgument, with
  /// file, line and what was expected, for an unknown key, a missing one or a
  /// value of another type.
  static absl::StatusOr<PlannerSettings> Parse(const std::string& file,
                                               const std::string& yaml);
};

}  // namespace heather_planner

#endif  // HEATHER_PLANNER_PLANNER_SETTINGS_H_
