#include "heatherlever/rule_table.h"

#include <algorithm>

#include "heatherlever/deployment_spec.h"
#include "heatherlever/effective_labels.h"
#include "heatherlever/selector.h"

namespace heatherlever {
namespace {

// A rule with its selectors parsed.
struct ParsedRule {
  Selector work;
  Selector to;
};

// A backend server with what the rules look at.
struct Target {
  Labels labels;
  std::size_t region = 0;
};

absl::Status WithRule(const RuleSpec& rule,
                      const std::string& field,
                      const absl::Status& status) {
  std::string message = "rule '" + rule.name + "', " + field + ": ";
  message.append(status.message().data(), status.message().size());
  return absl::InvalidArgumentError(message);
}

absl::StatusOr<std::vector<ParsedRule>> ParseRules(
    const std::vector<RuleSpec>& rules) {
  std::vector<ParsedRule> parsed;
  for (const RuleSpec& rule : rules) {
    auto work = Selector::Parse(rule.work);
    if (!work.ok()) {
      return WithRule(rule, "work", work.status());
    }
    auto to = Selector::Parse(rule.to);
    if (!to.ok()) {
      return WithRule(rule, "to", to.status());
    }
    parsed.push_back({*std::move(work), *std::move(to)});
  }
  return parsed;
}

absl::StatusOr<std::vector<Target>> FindTargets(const DeploymentSpec& spec) {
  std::vector<Target> targets;
  for (const BackendSpec& backend : spec.backends) {
    const auto region = std::find_if(
        spec.regions.begin(), spec.regions.end(),
        [&](const RegionSpec& r) { return r.name == backend.region; });
    if (region == spec.regions.end()) {
      return absl::InvalidArgumentError("backend server '" + backend.name +
                                        "': no region is named '" +
                                        backend.region + "'");
    }
    targets.push_back(
        {EffectiveLabels(backend, *region),
         static_cast<std::size_t>(region - spec.regions.begin())});
  }
  return targets;
}

std::optional<std::size_t> FirstMatch(const std::vector<ParsedRule>& rules,
                                      const KindSpec& kind) {
  const Labels labels = EffectiveLabels(kind);
  const auto found = std::find_if(
      rules.begin(), rules.end(),
      [&](const ParsedRule& rule) { return rule.work.Matches(labels); });
  if (found == rules.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - rules.begin());
}

}  // namespace

absl::StatusOr<RuleTable> RuleTable::Create(const DeploymentSpec& spec) {
  const auto rules = ParseRules(spec.rules);
  if (!rules.ok()) {
    return rules.status();
  }
  const auto targets = FindTargets(spec);
  if (!targets.ok()) {
    return targets.status();
  }
  RuleTable table;
  for (const KindSpec& kind : spec.kinds) {
    KindRule entry;
    entry.rule = FirstMatch(*rules, kind);
    entry.max_shift = entry.rule ? spec.rules[*entry.rule].max_shift : 0;
    entry.backends.resize(spec.backends.size());
    entry.regions.resize(spec.regions.size());
    const Selector to = entry.rule ? (*rules)[*entry.rule].to : Selector();
    for (std::size_t i = 0; i < targets->size(); ++i) {
      const Target& target = (*targets)[i];
      if (spec.backends[i].service == kind.service &&
          to.Matches(target.labels)) {
        entry.backends[i] = true;
        entry.regions[target.region] = true;
      }
    }
    table.kinds_.push_back(std::move(entry));
  }
  return table;
}

std::optional<std::size_t> RuleTable::RuleOf(std::size_t kind) const {
  return kinds_[kind].rule;
}

double RuleTable::MaxShift(std::size_t kind) const {
  return kinds_[kind].max_shift;
}

bool RuleTable::AllowsBackend(std::size_t kind, std::size_t backend) const {
  return kinds_[kind].backends[backend];
}

bool RuleTable::AllowsRegion(std::size_t kind, std::size_t region) const {
  return kinds_[kind].regions[region];
}

}  // namespace heatherlever
