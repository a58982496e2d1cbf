#ifndef HEATHERLEVER_RULE_TABLE_H_
#define HEATHERLEVER_RULE_TABLE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace heatherlever {

struct DeploymentSpec;

/// What the rules of a configuration say about each kind of work, with every
/// selector evaluated beforehand. Kinds, regions and backend servers are named
/// by their index in the configuration.
class RuleTable {
 public:
  /// Returns InvalidArgument, naming the rule, for a selector that cannot be
  /// parsed, and for a backend server in an unknown region.
  static absl::StatusOr<RuleTable> Create(const DeploymentSpec& spec);

  /// Index of the first rule that matches a kind; nothing if none does.
  std::optional<std::size_t> RuleOf(std::size_t kind) const;

  /// Largest share of a kind's requests that may leave their home region; 0 if
  /// no rule matches.
  double MaxShift(std::size_t kind) const;

  /// Whether a backend server runs the kind's service and the kind's rule lets
  /// the work go there. Without a rule it may go to every server.
  bool AllowsBackend(std::size_t kind, std::size_t backend) const;

  /// Whether the kind may go to any backend server of a region.
  bool AllowsRegion(std::size_t kind, std::size_t region) const;

 private:
  // What the rules say about one kind.
  struct KindRule {
    std::optional<std::size_t> rule;
    double max_shift = 0;
    std::vector<bool> backends;
    std::vector<bool> regions;
  };

  std::vector<KindRule> kinds_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_RULE_TABLE_H_
