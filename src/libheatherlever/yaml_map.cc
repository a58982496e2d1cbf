#include "libheatherlever/yaml_map.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

#include "heatherlever/ipv4.h"
#include "heatherlever/nearest_word.h"
#include "heatherlever/settings_error.h"
#include "libheatherlever/text_file.h"

namespace heatherlever {
namespace {

// yaml-cpp counts lines from 0, and gives -1 for a node with no place.
int LineOf(const YAML::Node& node) {
  return node.Mark().line + 1;
}

bool IsLabelWord(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
           c == '-' || c == '_';
  });
}

}  // namespace

YamlMap::YamlMap(const YAML::Node& node, std::string file, std::string what)
    : node_(node), file_(std::move(file)), what_(std::move(what)) {
  if (!node_.IsMap()) {
    throw SettingsError(file_, LineOf(node_),
                        what_ + " has to be a mapping of keys to values");
  }
  CheckKeys();
}

// yaml-cpp takes a key that is given twice, and finds the first one only.
void YamlMap::CheckKeys() const {
  std::set<std::string> keys;
  for (const auto& entry : node_) {
    const std::string key = Scalar(entry.first, "key");
    if (!keys.insert(key).second) {
      throw SettingsError(file_, LineOf(entry.first),
                          what_ + ": key '" + key + "' is given twice");
    }
  }
}

YamlMap YamlMap::Parse(const std::string& text, const std::string& file) {
  try {
    return {YAML::Load(text), file, "the file"};
  } catch (const YAML::Exception& error) {
    throw SettingsError(file, error.mark.line + 1,
                        "not valid YAML: " + error.msg);
  }
}

YamlMap YamlMap::ParseFile(const std::string& path) {
  const auto text = ReadTextFile(path);
  if (!text) {
    throw SettingsError(path, 0, "the file cannot be read");
  }
  return Parse(*text, path);
}

void YamlMap::Fail(const std::string& key, const std::string& message) const {
  const YAML::Node value = node_[key];
  const int line = LineOf(value.IsDefined() ? value : node_);
  throw SettingsError(file_, line, what_ + ": " + message);
}

YAML::Node YamlMap::Find(const std::string& key) {
  known_.push_back(key);
  return const_cast<const YAML::Node&>(node_)[key];
}

YAML::Node YamlMap::Require(const std::string& key) {
  YAML::Node value = Find(key);
  if (!value.IsDefined() || value.IsNull()) {
    Fail(key, "key '" + key + "' is missing");
  }
  return value;
}

std::string YamlMap::Scalar(const YAML::Node& node,
                            const std::string& key) const {
  if (!node.IsScalar()) {
    Fail(key, "'" + key + "' wants a single value");
  }
  return node.Scalar();
}

bool YamlMap::Has(const std::string& key) {
  return Find(key).IsDefined();
}

std::string YamlMap::Text(const std::string& key) {
  std::string text = Scalar(Require(key), key);
  if (text.empty()) {
    Fail(key, "'" + key + "' is empty");
  }
  return text;
}

std::string YamlMap::UniqueText(const std::string& key,
                                std::set<std::string>& taken) {
  std::string text = Text(key);
  if (!taken.insert(text).second) {
    Fail(key, "the " + key + " '" + text + "' is taken by an earlier one");
  }
  return text;
}

std::string YamlMap::TextOr(const std::string& key,
                            const std::string& fallback) {
  return Has(key) ? Scalar(Find(key), key) : fallback;
}

bool YamlMap::FlagOr(const std::string& key, bool fallback) {
  if (!Has(key)) {
    return fallback;
  }
  const std::string text = Text(key);
  if (text != "true" && text != "false") {
    Fail(key, "'" + key + "' wants true or false, found '" + text + "'");
  }
  return text == "true";
}

std::int64_t YamlMap::Number(const std::string& key,
                             std::int64_t least,
                             std::int64_t most) {
  const std::string text = Text(key);
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  const bool whole = result.ec == std::errc() && result.ptr == end;
  if (!whole || value < least || value > most) {
    Fail(key, "'" + key + "' wants a whole number from " +
                  std::to_string(least) + " to " + std::to_string(most) +
                  ", found '" + text + "'");
  }
  return value;
}

std::int64_t YamlMap::NumberOr(const std::string& key,
                               std::int64_t least,
                               std::int64_t most,
                               std::int64_t fallback) {
  return Has(key) ? Number(key, least, most) : fallback;
}

Duration YamlMap::Time(const std::string& key) {
  static const std::map<std::string, double> microseconds = {
      {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}};
  const std::string text = Text(key);
  double count = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, count);
  const auto unit = microseconds.find(std::string(result.ptr, end));
  if (result.ec != std::errc() || unit == microseconds.end() || count < 0) {
    Fail(key, "'" + key +
                  "' wants a duration with its unit (us, ms, s, min, h), such "
                  "as 40ms; found '" +
                  text + "'");
  }
  return Duration(static_cast<std::int64_t>(count * unit->second));
}

Duration YamlMap::TimeOr(const std::string& key, Duration fallback) {
  return Has(key) ? Time(key) : fallback;
}

double YamlMap::WithUnit(const std::string& key, const std::string& unit) {
  const std::string text = Text(key);
  double value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || std::string(result.ptr, end) != unit ||
      value < 0) {
    Fail(key, "'" + key + "' wants a number with the unit " + unit +
                  ", found '" + text + "'");
  }
  return value;
}

double YamlMap::Share(const std::string& key) {
  constexpr double kWholePercent = 100;
  const double percent = WithUnit(key, "%");
  if (percent > kWholePercent) {
    Fail(key, "'" + key + "' wants a share from 0% to 100%");
  }
  return percent / kWholePercent;
}

double YamlMap::ShareOr(const std::string& key, double fallback) {
  return Has(key) ? Share(key) : fallback;
}

double YamlMap::MegabitRate(const std::string& key) {
  return WithUnit(key, "Mbit/s");
}

std::string YamlMap::Address(const std::string& key) {
  std::string text = Text(key);
  if (!ParseIpv4(text)) {
    Fail(key, "'" + key + "' wants an IPv4 address, found '" + text + "'");
  }
  return text;
}

std::vector<std::string> YamlMap::Texts(const std::string& key) {
  const YAML::Node list = Require(key);
  if (!list.IsSequence()) {
    Fail(key, "'" + key + "' wants a list");
  }
  std::vector<std::string> texts;
  for (const YAML::Node& item : list) {
    texts.push_back(Scalar(item, key));
  }
  return texts;
}

Labels YamlMap::LabelsOr(const std::string& key) {
  Labels labels;
  const YAML::Node map = Find(key);
  if (!map.IsDefined()) {
    return labels;
  }
  if (!map.IsMap()) {
    Fail(key, "'" + key + "' wants a mapping of label to value");
  }
  for (const auto& entry : map) {
    const std::string name = Scalar(entry.first, key);
    const std::string value = Scalar(entry.second, key);
    if (!IsLabelWord(name) || !IsLabelWord(value)) {
      Fail(key, "label '" + name + ": " + value +
                    "' wants words of letters, digits, '.', '-' and '_'");
    }
    if (!labels.emplace(name, value).second) {
      Fail(key, "label '" + name + "' is given twice");
    }
  }
  return labels;
}

std::optional<YamlMap> YamlMap::MapOr(const std::string& key) {
  const YAML::Node node = Find(key);
  if (!node.IsDefined() || node.IsNull()) {
    return std::nullopt;
  }
  if (!node.IsMap()) {
    Fail(key, "'" + key + "' wants a mapping");
  }
  return YamlMap(node, file_, key);
}

std::vector<YamlMap> YamlMap::Maps(const std::string& key,
                                   const std::string& what) {
  std::vector<YamlMap> maps;
  const YAML::Node list = Find(key);
  if (!list.IsDefined() || list.IsNull()) {
    return maps;
  }
  if (!list.IsSequence()) {
    Fail(key, "'" + key + "' wants a list");
  }
  for (const YAML::Node& item : list) {
    const YAML::Node name = item.IsMap() ? item["name"] : YAML::Node();
    const bool named = name.IsDefined() && name.IsScalar();
    maps.emplace_back(item, file_,
                      named ? what + " '" + name.Scalar() + "'" : what);
  }
  return maps;
}

void YamlMap::Finish() const {
  for (const auto& entry : node_) {
    const std::string key = entry.first.Scalar();
    if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
      throw SettingsError(
          file_, LineOf(entry.first),
          what_ + ": unknown key '" + key + "'" + NearestWordHint(key, known_));
    }
  }
}

}  // namespace heatherlever
