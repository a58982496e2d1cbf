#ifndef HEATHERLEVER_SELECTOR_PARSER_H_
#define HEATHERLEVER_SELECTOR_PARSER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "heatherlever/selector.h"

namespace heatherlever {

/// Parses one selector by recursive descent; see docs/SELECTORS.md.
class SelectorParser {
 public:
  explicit SelectorParser(std::string_view text);

  absl::StatusOr<Selector> Parse();

 private:
  // A word, an operator sign or the end of the text (empty).
  struct Token {
    std::string_view text;
    // From 1.
    std::size_t column = 0;
    bool is_word = false;
  };

  Token ReadToken();
  void Advance();
  bool Accept(std::string_view text);
  // Accepts `text` or sets the error.
  bool Expect(std::string_view text, std::string_view expected);
  // Sets the error unless there is one, and returns false.
  bool Fail(std::string_view expected);

  // Each parses one form of the grammar, appends its nodes and returns whether
  // that worked. The form's root is the last node.
  bool ParseOr(int depth);
  bool ParseAnd(int depth);
  bool ParseNot(int depth);
  bool ParsePrimary(int depth);
  bool ParseComparison();
  bool ParseSet(std::uint16_t key);
  bool ParseKey(std::uint16_t* key);
  bool ParseWord(std::string_view expected);

  bool IsKeyword() const;
  std::uint16_t LastNode() const;
  void AddNot();

  std::string_view text_;
  std::size_t position_ = 0;
  Token token_;
  Selector selector_;
  absl::Status error_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_SELECTOR_PARSER_H_
