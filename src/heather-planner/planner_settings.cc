#include "heather-planner/planner_settings.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <map>
#include <stdexcept>

namespace heather_planner {
namespace {

using heatherlever::Duration;

class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads one map of the settings; each key has a reader.
class MapReader {
 public:
  using Readers =
      std::map<std::string, std::function<void(const YAML::Node& value)>>;

  MapReader(std::string file, Readers readers)
      : file_(std::move(file)), readers_(std::move(readers)) {}

  void Read(const YAML::Node& node) const {
    if (!node.IsMap()) {
      Fail(node, "expected a map of " + Keys());
    }
    for (const auto& entry : node) {
      const auto key = entry.first.as<std::string>();
      const auto reader = readers_.find(key);
      if (reader == readers_.end()) {
        Fail(entry.first, "unknown key '" + key + "', expected " + Keys());
      }
      ReadValue(key, entry.second, reader->second);
    }
  }

 private:
  void ReadValue(const std::string& key,
                 const YAML::Node& value,
                 const std::function<void(const YAML::Node&)>& reader) const {
    try {
      reader(value);
    } catch (const YAML::Exception&) {
      Fail(value, "the value of '" + key + "' has another type");
    }
  }

  [[noreturn]] void Fail(const YAML::Node& node,
                         const std::string& message) const {
    throw SettingsError(file_ + ":" + std::to_string(node.Mark().line + 1) +
                        ": " + message);
  }

  std::string Keys() const {
    std::string keys;
    for (const auto& [key, reader] : readers_) {
      keys.append(keys.empty() ? "" : ", ").append(key);
    }
    return keys;
  }

  std::string file_;
  Readers readers_;
};

template <typename Value>
auto Into(Value& field) {
  return [&field](const YAML::Node& value) { field = value.as<Value>(); };
}

auto Milliseconds(Duration& field) {
  return [&field](const YAML::Node& value) {
    field = std::chrono::milliseconds(value.as<std::int64_t>());
  };
}

void ReadAll(const std::string& file,
             const YAML::Node& root,
             PlannerSettings& settings) {
  const MapReader platform(
      file,
      {{"address", Into(settings.platform.address)},
       {"port", Into(settings.platform.port)},
       {"call_deadline_ms", Milliseconds(settings.platform.call_deadline)},
       {"answer_timeout_ms", Milliseconds(settings.platform.answer_timeout)},
       {"reads_per_second", Into(settings.platform.reads_per_second)},
       {"writes_per_second", Into(settings.platform.writes_per_second)},
       {"seed", Into(settings.platform.seed)}});
  const MapReader lease(
      file, {{"duration_ms", Milliseconds(settings.lease.duration)},
             {"renew_after_ms", Milliseconds(settings.lease.renew_after)},
             {"drift_margin_ms", Milliseconds(settings.lease.drift_margin)}});
  const MapReader all(
      file, {{"name", Into(settings.name)},
             {"platform", [&](const auto& node) { platform.Read(node); }},
             {"lease", [&](const auto& node) { lease.Read(node); }},
             {"hysteresis_ms", Milliseconds(settings.hysteresis)},
             {"poll_interval_ms", Milliseconds(settings.poll_interval)}});
  all.Read(root);
}

void Check(const std::string& file, const PlannerSettings& settings) {
  if (settings.name.empty()) {
    throw SettingsError(file + ": key 'name' is missing");
  }
  if (settings.platform.address.empty() || settings.platform.port == 0) {
    throw SettingsError(file + ": key 'platform' needs an address and a port");
  }
  if (settings.poll_interval <= Duration(0) ||
      settings.hysteresis < Duration(0)) {
    throw SettingsError(file + ": a time is negative or zero");
  }
  if (settings.lease.renew_after + settings.lease.drift_margin >=
      settings.lease.duration) {
    throw SettingsError(file +
                        ": lease: renew_after_ms and drift_margin_ms have to "
                        "be below duration_ms together");
  }
}

}  // namespace

absl::StatusOr<PlannerSettings> PlannerSettings::Parse(
    const std::string& file,
    const std::string& yaml) {
  try {
    PlannerSettings settings;
    ReadAll(file, YAML::Load(yaml), settings);
    Check(file, settings);
    return settings;
  } catch (const SettingsError& error) {
    return absl::InvalidArgumentError(error.what());
  } catch (const YAML::Exception& error) {
    return absl::InvalidArgumentError(
        file + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg);
  }
}

}  // namespace heather_planner
