#ifndef HEATHERLEVER_RULE_SPEC_H_
#define HEATHERLEVER_RULE_SPEC_H_

#include <string>

namespace heatherlever {

/// A rule of the operators: where work may go, how much of it may shift, and
/// which counts most. The first rule whose `work` selector matches a kind of
/// work applies to it.
struct RuleSpec {
  std::string name;
  /// Selector over the labels of kinds of work.
  std::string work;
  /// Selector over the labels of regions and backend servers: where matching
  /// work may go. Empty means anywhere.
  std::string to;
  /// Largest share of a kind's requests, from 0 to 1, that may be sent
  /// outside the caller's home region.
  double max_shift = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_RULE_SPEC_H_
