#include "heatherlever/selector.h"

#include <algorithm>

#include "selector_parser.h"

namespace heatherlever {

absl::StatusOr<Selector> Selector::Parse(std::string_view text) {
  return SelectorParser(text).Parse();
}

bool Selector::Matches(const Labels& labels) const {
  return nodes_.empty() || Evaluate(nodes_.back(), labels);
}

bool Selector::Evaluate(const Node& node, const Labels& labels) const {
  switch (node.op) {
    case Operator::kAnd:
      return Evaluate(nodes_[node.first], labels) &&
             Evaluate(nodes_[node.second], labels);
    case Operator::kOr:
      return Evaluate(nodes_[node.first], labels) ||
             Evaluate(nodes_[node.second], labels);
    case Operator::kNot:
      return !Evaluate(nodes_[node.first], labels);
    case Operator::kHas:
      return labels.contains(words_[node.key]);
    case Operator::kIn:
      return IsIn(node, labels);
  }
  return false;
}

bool Selector::IsIn(const Node& node, const Labels& labels) const {
  const auto found = labels.find(words_[node.key]);
  if (found == labels.end()) {
    return false;
  }
  const auto first = words_.begin() + node.key + 1;
  const auto last = first + node.value_count;
  return std::find(first, last, found->second) != last;
}

}  // namespace heatherlever
