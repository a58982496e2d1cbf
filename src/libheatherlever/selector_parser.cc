#include "selector_parser.h"

#include <algorithm>
#include <array>
#include <utility>

namespace heatherlever {
namespace {

constexpr std::array<std::string_view, 5> kKeywords = {"and", "or", "not", "in",
                                                       "has"};

// Evaluation recurses once a level.
constexpr int kMaxDepth = 64;

// Bounds the numbers of nodes and words, which are numbered by 16 bits, and the
// recursion over a long chain of `and` or `or`.
constexpr std::size_t kMaxTextBytes = 4096;

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

bool IsWordCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

std::string Quoted(std::string_view text) {
  if (text.empty()) {
    return "the end";
  }
  std::string quoted = "'";
  return quoted.append(text).append("'");
}

}  // namespace

SelectorParser::SelectorParser(std::string_view text) : text_(text) {}

absl::StatusOr<Selector> SelectorParser::Parse() {
  if (text_.size() > kMaxTextBytes) {
    return absl::InvalidArgumentError(
        "selector: at most " + std::to_string(kMaxTextBytes) +
        " characters were expected, found " + std::to_string(text_.size()));
  }
  Advance();
  if (token_.text.empty()) {
    return Selector();
  }
  if (!ParseOr(0)) {
    return error_;
  }
  if (!token_.text.empty()) {
    Fail("'and', 'or' or the end");
    return error_;
  }
  selector_.nodes_.shrink_to_fit();
  selector_.words_.shrink_to_fit();
  return std::move(selector_);
}

SelectorParser::Token SelectorParser::ReadToken() {
  while (position_ < text_.size() && IsSpace(text_[position_])) {
    ++position_;
  }
  const std::size_t start = position_;
  if (start == text_.size()) {
    return {{}, start + 1, false};
  }
  while (position_ < text_.size() && IsWordCharacter(text_[position_])) {
    ++position_;
  }
  if (position_ > start) {
    return {text_.substr(start, position_ - start), start + 1, true};
  }
  const bool not_equal = text_.substr(start, 2) == "!=";
  position_ += not_equal ? 2 : 1;
  return {text_.substr(start, position_ - start), start + 1, false};
}

void SelectorParser::Advance() {
  token_ = ReadToken();
}

bool SelectorParser::Accept(std::string_view text) {
  if (token_.text != text) {
    return false;
  }
  Advance();
  return true;
}

bool SelectorParser::Expect(std::string_view text, std::string_view expected) {
  return Accept(text) || Fail(expected);
}

bool SelectorParser::Fail(std::string_view expected) {
  if (error_.ok()) {
    error_ = absl::InvalidArgumentError(
        "selector: column " + std::to_string(token_.column) + ": expected " +
        std::string(expected) + ", found " + Quoted(token_.text));
  }
  return false;
}

bool SelectorParser::ParseOr(int depth) {
  if (!ParseAnd(depth)) {
    return false;
  }
  while (Accept("or")) {
    const std::uint16_t first = LastNode();
    if (!ParseAnd(depth)) {
      return false;
    }
    selector_.nodes_.push_back({Selector::Operator::kOr, first, LastNode()});
  }
  return true;
}

bool SelectorParser::ParseAnd(int depth) {
  if (!ParseNot(depth)) {
    return false;
  }
  while (Accept("and")) {
    const std::uint16_t first = LastNode();
    if (!ParseNot(depth)) {
      return false;
    }
    selector_.nodes_.push_back({Selector::Operator::kAnd, first, LastNode()});
  }
  return true;
}

bool SelectorParser::ParseNot(int depth) {
  if (depth >= kMaxDepth) {
    return Fail("at most " + std::to_string(kMaxDepth) + " levels");
  }
  if (!Accept("not")) {
    return ParsePrimary(depth);
  }
  if (!ParseNot(depth + 1)) {
    return false;
  }
  AddNot();
  return true;
}

bool SelectorParser::ParsePrimary(int depth) {
  if (Accept("(")) {
    return ParseOr(depth + 1) && Expect(")", "'and', 'or' or ')'");
  }
  if (Accept("has")) {
    std::uint16_t key = 0;
    if (!ParseKey(&key)) {
      return false;
    }
    selector_.nodes_.push_back({Selector::Operator::kHas, 0, 0, key});
    return true;
  }
  return ParseComparison();
}

bool SelectorParser::ParseComparison() {
  std::uint16_t key = 0;
  if (!ParseKey(&key)) {
    return false;
  }
  const bool equal = Accept("=");
  if (equal || Accept("!=")) {
    if (!ParseWord("a label value")) {
      return false;
    }
    selector_.nodes_.push_back({Selector::Operator::kIn, 0, 0, key, 1});
    if (!equal) {
      AddNot();
    }
    return true;
  }
  if (Accept("not")) {
    if (!Expect("in", "'in'") || !ParseSet(key)) {
      return false;
    }
    AddNot();
    return true;
  }
  return Expect("in", "'=', '!=', 'in' or 'not in'") && ParseSet(key);
}

bool SelectorParser::ParseSet(std::uint16_t key) {
  if (!Expect("(", "'('")) {
    return false;
  }
  std::uint16_t count = 0;
  do {
    if (!ParseWord("a label value")) {
      return false;
    }
    ++count;
  } while (Accept(","));
  selector_.nodes_.push_back({Selector::Operator::kIn, 0, 0, key, count});
  return Expect(")", "',' or ')'");
}

bool SelectorParser::ParseKey(std::uint16_t* key) {
  if (IsKeyword()) {
    return Fail("a label key");
  }
  *key = static_cast<std::uint16_t>(selector_.words_.size());
  return ParseWord("a label key");
}

bool SelectorParser::ParseWord(std::string_view expected) {
  if (!token_.is_word) {
    return Fail(expected);
  }
  selector_.words_.emplace_back(token_.text);
  Advance();
  return true;
}

bool SelectorParser::IsKeyword() const {
  return std::find(kKeywords.begin(), kKeywords.end(), token_.text) !=
         kKeywords.end();
}

std::uint16_t SelectorParser::LastNode() const {
  return static_cast<std::uint16_t>(selector_.nodes_.size() - 1);
}

void SelectorParser::AddNot() {
  selector_.nodes_.push_back({Selector::Operator::kNot, LastNode()});
}

}  // namespace heatherlever
