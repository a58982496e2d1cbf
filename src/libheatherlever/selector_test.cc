#include "heatherlever/selector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <memory>

namespace heatherlever {
namespace {

// A selector's text beside a function that evaluates it naively.
struct Reference {
  std::string text;
  std::function<bool(const Labels&)> matches;
};

std::string RandomWord() {
  return *rc::gen::element<std::string>("a", "b", "c", "and", "in");
}

std::string RandomKey() {
  return *rc::gen::element<std::string>("k", "l", "m.x");
}

Reference RandomSet(const std::string& key, bool negated) {
  const auto count = *rc::gen::inRange(1, 4);
  std::vector<std::string> values;
  std::string list;
  for (int i = 0; i < count; ++i) {
    values.push_back(RandomWord());
    list += (i == 0 ? "" : ", ") + values.back();
  }
  return {key + (negated ? " not in (" : " in (") + list + ")",
          [=](const Labels& labels) {
            for (const auto& [k, v] : labels) {
              for (const auto& value : values) {
                if (k == key && v == value) {
                  return !negated;
                }
              }
            }
            return negated;
          }};
}

Reference RandomComparison() {
  const std::string key = RandomKey();
  const std::string value = RandomWord();
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return {key + "=" + value, [=](const Labels& labels) {
                return labels.contains(key) && labels.at(key) == value;
              }};
    case 1:
      return {key + " != " + value, [=](const Labels& labels) {
                return !labels.contains(key) || labels.at(key) != value;
              }};
    case 2:
      return {"has " + key,
              [=](const Labels& labels) { return labels.contains(key); }};
    default:
      return RandomSet(key, *rc::gen::arbitrary<bool>());
  }
}

Reference RandomExpression(int depth) {
  const int form = depth == 0 ? 0 : *rc::gen::inRange(0, 4);
  if (form == 0) {
    return RandomComparison();
  }
  const Reference a = RandomExpression(depth - 1);
  if (form == 1) {
    return {"not (" + a.text + ")",
            [=](const Labels& labels) { return !a.matches(labels); }};
  }
  const Reference b = RandomExpression(depth - 1);
  if (form == 2) {
    return {"(" + a.text + ") and (" + b.text + ")", [=](const Labels& labels) {
              return a.matches(labels) && b.matches(labels);
            }};
  }
  return {"(" + a.text + ") or (" + b.text + ")", [=](const Labels& labels) {
            return a.matches(labels) || b.matches(labels);
          }};
}

bool Matches(const std::string& text, const Labels& labels) {
  const auto selector = Selector::Parse(text);
  EXPECT_TRUE(selector.ok()) << text << ": " << selector.status();
  return selector.ok() && selector->Matches(labels);
}

RC_GTEST_PROP(SelectorTest, EqualsNaiveEvaluation, ()) {
  const Reference reference = RandomExpression(4);
  const auto selector = Selector::Parse(reference.text);
  RC_ASSERT(selector.ok());
  for (int i = 0; i < 8; ++i) {
    Labels labels;
    for (int j = *rc::gen::inRange(0, 4); j > 0; --j) {
      labels[RandomKey()] = RandomWord();
    }
    RC_ASSERT(selector->Matches(labels) == reference.matches(labels));
  }
}

RC_GTEST_PROP(SelectorTest, SurvivesAnyText, ()) {
  const auto words = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("and", "or", "not", "in", "has", "(", ")",
                                    "=", "!=", ",", "k", "!", "#"));
  std::string text;
  for (const auto& word : words) {
    text += word + " ";
  }
  const auto selector = Selector::Parse(text);
  if (selector.ok()) {
    selector->Matches({{"k", "k"}});
  }
}

TEST(SelectorTest, EmptySelectsEverything) {
  EXPECT_TRUE(Matches("", {}));
  EXPECT_TRUE(Matches(" \n ", {{"k", "v"}}));
}

TEST(SelectorTest, NotBindsTighterThanAndThanOr) {
  EXPECT_TRUE(Matches("a=1 or b=1 and c=1", {{"a", "1"}}));
  EXPECT_FALSE(Matches("(a=1 or b=1) and c=1", {{"a", "1"}}));
  EXPECT_FALSE(Matches("not a=1 and b=1", {{"a", "1"}}));
  EXPECT_TRUE(Matches("not not a=1", {{"a", "1"}}));
}

TEST(SelectorTest, AnAbsentKeyDiffersFromEveryValue) {
  EXPECT_TRUE(Matches("zone != a", {}));
  EXPECT_TRUE(Matches("zone not in (a, b)", {}));
  EXPECT_FALSE(Matches("zone = a", {}));
}

TEST(SelectorTest, ErrorsNameColumnExpectedAndFound) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"a", "column 2: expected '=', '!=', 'in' or 'not in', found the end"},
      {"a = ", "column 5: expected a label value, found the end"},
      {"in = b", "column 1: expected a label key, found 'in'"},
      {"a = b c", "column 7: expected 'and', 'or' or the end, found 'c'"},
      {"a in (b c)", "column 9: expected ',' or ')', found 'c'"},
      {"a not b", "column 7: expected 'in', found 'b'"},
      {"(a = b", "column 7: expected 'and', 'or' or ')', found the end"},
      {"a = b and", "column 10: expected a label key, found the end"},
      {"a = b; c", "column 6: expected 'and', 'or' or the end, found ';'"},
  };
  for (const auto& [text, message] : cases) {
    EXPECT_EQ(Selector::Parse(text).status().message(), "selector: " + message);
  }
}

TEST(SelectorTest, DepthAndLengthAreBounded) {
  EXPECT_FALSE(Selector::Parse(std::string(100, '(') + "has a").ok());
  EXPECT_FALSE(Selector::Parse("has " + std::string(5000, 'a')).ok());
}

}  // namespace
}  // namespace heatherlever
