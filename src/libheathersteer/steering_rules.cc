#include "heathersteer/steering_rules.h"

#include <algorithm>
#include <set>
#include <utility>

#include "heatherlever/rank.h"
#include "heatherlever/settings_error.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/route.h"
#include "libheatherlever/yaml_map.h"

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heatherlever::Labels;
using heatherlever::Selector;
using heatherlever::ShiftCap;
using heatherlever::YamlMap;

// Window over which the share of shifted requests is counted.
constexpr Duration kCapWindow = std::chrono::seconds(10);

Selector ReadSelector(YamlMap& map, const std::string& key) {
  auto selector = Selector::Parse(map.TextOr(key, ""));
  if (!selector.ok()) {
    map.Fail(key, std::string(selector.status().message()));
  }
  return *std::move(selector);
}

Labels LabelsOfWork(const Route& route, const std::string& service) {
  // Ranks beyond the last named one have its name.
  const std::size_t rank =
      std::min(static_cast<std::size_t>(std::max(0, route.rank)),
               heatherlever::kRankCount - 1);
  return {{"name", route.name},
          {"host", route.host},
          {"service", service},
          {"rank", std::string(heatherlever::kRankNames[rank])},
          {"idempotent", route.idempotent ? "yes" : "no"}};
}

}  // namespace

absl::StatusOr<SteeringRules> SteeringRules::Load(const std::string& path) {
  try {
    YamlMap top = YamlMap::ParseFile(path);
    return Read(top);
  } catch (const heatherlever::SettingsError& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

absl::StatusOr<SteeringRules> SteeringRules::Parse(const std::string& text,
                                                   const std::string& path) {
  try {
    YamlMap top = YamlMap::Parse(text, path);
    return Read(top);
  } catch (const heatherlever::SettingsError& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

SteeringRules SteeringRules::Read(YamlMap& top) {
  SteeringRules result;
  std::set<std::string> names;
  for (YamlMap& map : top.Maps("regions", "region")) {
    const std::string name = map.UniqueText("name", names);
    result.region_labels_[name] = map.LabelsOr("labels");
    map.Finish();
  }
  names.clear();
  for (YamlMap& map : top.Maps("rules", "rule")) {
    std::string name = map.UniqueText("name", names);
    Selector work = ReadSelector(map, "work");
    Selector to = ReadSelector(map, "to");
    const double share = map.Share("max_shift");
    map.Finish();
    result.rules_.push_back({std::move(name), std::move(work), std::move(to),
                             ShiftCap(share, kCapWindow)});
  }
  names.clear();
  for (YamlMap& map : top.Maps("drains", "drain")) {
    map.UniqueText("name", names);
    Selector select = ReadSelector(map, "select");
    if (select.empty()) {
      map.Fail("select", "a drain has to say what it drains");
    }
    map.Finish();
    result.drains_.push_back(std::move(select));
  }
  top.Finish();
  return result;
}

std::optional<std::size_t> SteeringRules::RuleFor(
    const Route& route,
    const std::string& service) const {
  const Labels labels = LabelsOfWork(route, service);
  for (std::size_t i = 0; i < rules_.size(); ++i) {
    if (rules_[i].work.Matches(labels)) {
      return i;
    }
  }
  return std::nullopt;
}

Labels SteeringRules::LabelsOf(const BackendServer& server) const {
  Labels labels = {{"name", server.id},
                   {"service", server.service},
                   {"region", server.region},
                   {"domain", server.domain}};
  const auto region = region_labels_.find(server.region);
  if (region != region_labels_.end()) {
    labels.insert(region->second.begin(), region->second.end());
  }
  return labels;
}

bool SteeringRules::Drained(const Labels& labels) const {
  return std::any_of(
      drains_.begin(), drains_.end(),
      [&](const Selector& drain) { return drain.Matches(labels); });
}

bool SteeringRules::Allows(std::optional<std::size_t> rule,
                           const BackendServer& server) const {
  const bool selects = rule && !rules_[*rule].to.empty();
  if (!selects && drains_.empty()) {
    return true;
  }
  const Labels labels = LabelsOf(server);
  return !Drained(labels) && (!selects || rules_[*rule].to.Matches(labels));
}

bool SteeringRules::MayShift(std::optional<std::size_t> rule,
                             Instant now) const {
  return !rule || rules_[*rule].cap.MayMove(now);
}

void SteeringRules::CountSent(std::optional<std::size_t> rule,
                              bool shifted,
                              Instant now) {
  if (!rule) {
    return;
  }
  if (!shifted || !rules_[*rule].cap.TryMove(now)) {
    rules_[*rule].cap.CountUnmoved(now);
  }
}

}  // namespace heathersteer
