#ifndef HEATHERSTEER_STEERING_RULES_H_
#define HEATHERSTEER_STEERING_RULES_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/labels.h"
#include "heatherlever/selector.h"
#include "heatherlever/shift_cap.h"

namespace heatherlever {
class YamlMap;
}  // namespace heatherlever

namespace heathersteer {

struct BackendServer;
struct Route;

/// The operators' rules and drains over labels: where requests may run, how
/// many of them may be shifted, and which servers get no new requests.
/// docs/CONFIGURATION.md describes the file, docs/SELECTORS.md the selectors.
class SteeringRules {
 public:
  /// Reads a YAML file. An error message names the file and line.
  static absl::StatusOr<SteeringRules> Load(const std::string& path);

  /// As Load, from the text of the file; `path` is for error messages.
  static absl::StatusOr<SteeringRules> Parse(const std::string& text,
                                             const std::string& path);

  /// Index of the first rule whose `work` selects the route's requests to a
  /// service; nullopt if none does.
  std::optional<std::size_t> RuleFor(const Route& route,
                                     const std::string& service) const;

  /// Whether the rule's `to` selects the server and no drain does.
  bool Allows(std::optional<std::size_t> rule,
              const BackendServer& server) const;

  /// Whether the rule's next request may be shifted.
  bool MayShift(std::optional<std::size_t> rule,
                heatherlever::Instant now) const;

  /// Counts a sent request of a rule; `shifted` if it was sent to a remote
  /// region.
  void CountSent(std::optional<std::size_t> rule,
                 bool shifted,
                 heatherlever::Instant now);

  std::size_t rule_count() const { return rules_.size(); }
  std::size_t drain_count() const { return drains_.size(); }

 private:
  struct Rule {
    std::string name;
    heatherlever::Selector work;
    heatherlever::Selector to;
    heatherlever::ShiftCap cap;
  };

  static SteeringRules Read(heatherlever::YamlMap& top);
  heatherlever::Labels LabelsOf(const BackendServer& server) const;
  bool Drained(const heatherlever::Labels& labels) const;

  std::vector<Rule> rules_;
  std::vector<heatherlever::Selector> drains_;
  std::map<std::string, heatherlever::Labels> region_labels_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_STEERING_RULES_H_
