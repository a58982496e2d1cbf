#ifndef HEATHERLEVER_SELECTOR_H_
#define HEATHERLEVER_SELECTOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "heatherlever/labels.h"

namespace heatherlever {

/// A condition over labels, such as `tier = gold and not zone in (a, b)`.
/// docs/SELECTORS.md gives the grammar. A selector is immutable once parsed.
class Selector {
 public:
  /// Selects everything.
  Selector() = default;

  /// Parses a selector; text without a word selects everything. Returns
  /// InvalidArgument with the column, what was expected and what was found.
  static absl::StatusOr<Selector> Parse(std::string_view text);

  /// Whether the labels meet the condition. Allocates nothing.
  bool Matches(const Labels& labels) const;

  /// Whether it selects everything because its text was empty.
  bool empty() const { return nodes_.empty(); }

 private:
  friend class SelectorParser;

  enum class Operator : std::uint8_t { kAnd, kOr, kNot, kHas, kIn };

  // A node of the expression tree. Children come before their parents, so the
  // root is the last node.
  struct Node {
    Operator op;
    // kAnd, kOr: both children; kNot: `first` only.
    std::uint16_t first = 0;
    std::uint16_t second = 0;
    // kHas, kIn: index into words_ of the key. kIn: `value_count` values
    // follow the key.
    std::uint16_t key = 0;
    std::uint16_t value_count = 0;
  };

  bool Evaluate(const Node& node, const Labels& labels) const;
  bool IsIn(const Node& node, const Labels& labels) const;

  std::vector<Node> nodes_;
  std::vector<std::string> words_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_SELECTOR_H_
