#include "heather-entry/entry_settings.h"

#include "heatherlever/settings_error.h"
#include "libheatherlever/yaml_map.h"

namespace heather_entry {
namespace {

using heatherlever::SettingsError;
using heatherlever::YamlMap;

constexpr int kMaxPort = 65535;
constexpr int kMaxThreads = 4096;

std::uint16_t Port(YamlMap& map, const std::string& key) {
  return static_cast<std::uint16_t>(map.Number(key, 0, kMaxPort));
}

EntrySettings Read(YamlMap& map) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  EntrySettings settings;
  settings.name = map.Text("name");
  settings.region = map.Text("region");
  settings.domain = map.Text("domain");
  settings.address = map.Address("address");
  settings.http_port = Port(map, "http_port");
  settings.peer_port = Port(map, "peer_port");
  settings.admin_port = Port(map, "admin_port");
  settings.platform_address = map.Address("platform_address");
  settings.platform_port = Port(map, "platform_port");
  settings.poll_interval = map.TimeOr("poll_interval", milliseconds(1000));
  settings.caller_threads =
      static_cast<int>(map.NumberOr("caller_threads", 1, kMaxThreads, 1024));
  settings.backend_threads =
      static_cast<int>(map.NumberOr("backend_threads", 1, kMaxThreads, 256));
  settings.shutdown_limit = map.TimeOr("shutdown_limit", seconds(30));
  settings.connection_doubt = map.TimeOr("connection_doubt", milliseconds(500));
  settings.log_level = map.TextOr("log_level", "info");
  map.Finish();
  return settings;
}

}  // namespace

absl::StatusOr<EntrySettings> LoadEntrySettings(const std::string& path) {
  try {
    YamlMap map = YamlMap::ParseFile(path);
    return Read(map);
  } catch (const SettingsError& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace heather_entry
