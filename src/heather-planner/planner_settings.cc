#include "heather-planner/planner_settings.h"

#include "heatherlever/settings_error.h"
#include "libheatherlever/yaml_map.h"

namespace heather_planner {
namespace {

using heatherlever::YamlMap;

constexpr int kMaxPort = 65535;

PlannerSettings Read(YamlMap& map) {
  using std::chrono::milliseconds;
  PlannerSettings settings;
  settings.name = map.Text("name");
  settings.platform.address = map.Address("platform_address");
  settings.platform.port =
      static_cast<std::uint16_t>(map.Number("platform_port", 1, kMaxPort));
  settings.lease.duration =
      map.TimeOr("lease_duration", settings.lease.duration);
  settings.lease.renew_after =
      map.TimeOr("lease_renew_after", settings.lease.renew_after);
  settings.lease.drift_margin =
      map.TimeOr("lease_drift_margin", settings.lease.drift_margin);
  if (settings.lease.renew_after + settings.lease.drift_margin >=
      settings.lease.duration) {
    map.Fail("lease_renew_after",
             "'lease_renew_after' plus 'lease_drift_margin' has to be below "
             "'lease_duration'");
  }
  settings.interval = map.TimeOr("interval", milliseconds(500));
  settings.missing_time = map.TimeOr("missing_time", milliseconds(2000));
  settings.log_level = map.TextOr("log_level", "info");
  map.Finish();
  return settings;
}

}  // namespace

absl::StatusOr<PlannerSettings> LoadPlannerSettings(const std::string& path) {
  try {
    YamlMap map = YamlMap::ParseFile(path);
    return Read(map);
  } catch (const heatherlever::SettingsError& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace heather_planner
