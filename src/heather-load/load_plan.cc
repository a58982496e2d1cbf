#include "heather-load/load_plan.h"

#include <filesystem>

#include "heatherlever/deployment_loader.h"
#include "heatherlever/ipv4.h"
#include "heatherlever/nearest_word.h"
#include "heatherlever/settings_error.h"
#include "libheatherlever/text_file.h"
#include "libheatherlever/yaml_map.h"

namespace heather_load {
namespace {

using heatherlever::Duration;
using heatherlever::YamlMap;

constexpr int kMaxThreads = 4096;
constexpr int kMaxCallers = 65536;
constexpr int kMaxBodyBytes = 200000;
constexpr std::int64_t kMaxRate = 1000000;
constexpr std::int64_t kMaxSeed = 1000000000;

heatherlever::DeploymentSpec ReadDeployment(YamlMap& map,
                                            const std::string& path) {
  const auto file =
      std::filesystem::path(path).parent_path() / map.Text("deployment");
  const auto text = heatherlever::ReadTextFile(file.string());
  if (!text) {
    map.Fail("deployment", "the file " + file.string() + " cannot be read");
  }
  auto spec = heatherlever::LoadDeployment(*text, file.string());
  if (!spec.ok()) {
    map.Fail("deployment", std::string(spec.status().message()));
  }
  return *std::move(spec);
}

void RequireKind(YamlMap& map,
                 const heatherlever::DeploymentSpec& spec,
                 const std::string& kind) {
  std::vector<std::string> names;
  for (const heatherlever::KindSpec& known : spec.kinds) {
    if (known.name == kind) {
      return;
    }
    names.push_back(known.name);
  }
  map.Fail("kind", "no kind of work is named '" + kind + "'" +
                       heatherlever::NearestWordHint(kind, names));
}

std::optional<Wave> ReadWave(YamlMap& stream) {
  std::optional<YamlMap> found = stream.MapOr("wave");
  if (!found) {
    return std::nullopt;
  }
  YamlMap& map = *found;
  Wave wave;
  wave.period = map.Time("period");
  wave.low = map.Share("low");
  wave.high = map.Share("high");
  wave.phase = map.TimeOr("phase", Duration(0));
  map.Finish();
  if (wave.period <= Duration(0) || wave.high <= 0 || wave.low > wave.high) {
    stream.Fail("wave",
                "'wave' wants a period above 0, and low not above high");
  }
  return wave;
}

LoadStream ReadStream(YamlMap& map, const LoadPlan& plan) {
  LoadStream stream;
  stream.name = map.Text("name");
  stream.kind = map.Text("kind");
  RequireKind(map, plan.deployment, stream.kind);
  stream.rate_per_s =
      static_cast<double>(map.Number("rate_per_s", 1, kMaxRate));
  stream.wave = ReadWave(map);
  stream.start = map.TimeOr("start", Duration(0));
  stream.end = map.TimeOr("end", plan.duration);
  stream.first_caller = *heatherlever::ParseIpv4(map.Address("first_caller"));
  stream.callers = static_cast<int>(map.NumberOr("callers", 1, kMaxCallers, 1));
  stream.body_bytes =
      static_cast<int>(map.NumberOr("body_bytes", 0, kMaxBodyBytes, 200));
  map.Finish();
  return stream;
}

LoadPlan Read(YamlMap& map, const std::string& path) {
  LoadPlan plan;
  plan.deployment = ReadDeployment(map, path);
  plan.seed = static_cast<std::uint64_t>(map.NumberOr("seed", 0, kMaxSeed, 1));
  plan.duration = map.Time("duration");
  plan.threads = static_cast<int>(map.NumberOr("threads", 1, kMaxThreads, 256));
  plan.entry_hosts = map.Texts("entry_hosts");
  for (YamlMap& stream : map.Maps("streams", "stream")) {
    plan.streams.push_back(ReadStream(stream, plan));
  }
  map.Finish();
  return plan;
}

}  // namespace

absl::StatusOr<LoadPlan> LoadLoadPlan(const std::string& path) {
  try {
    YamlMap map = YamlMap::ParseFile(path);
    return Read(map, path);
  } catch (const heatherlever::SettingsError& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace heather_load
