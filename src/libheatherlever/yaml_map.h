#ifndef LIBHEATHERLEVER_YAML_MAP_H_
#define LIBHEATHERLEVER_YAML_MAP_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/labels.h"

namespace heatherlever {

/// Strict reader of one YAML mapping. Every function throws SettingsError, with
/// file and line, for a missing key, a wrong type or unit, or a value out of
/// range. Finish() rejects the keys that nobody read.
class YamlMap {
 public:
  /// `what` names the mapping in messages, such as "kind 'readings'".
  YamlMap(const YAML::Node& node, std::string file, std::string what);

  /// Parses the text of a file whose top is a mapping.
  static YamlMap Parse(const std::string& text, const std::string& file);

  /// Like Parse, with the text of the file at `path`.
  static YamlMap ParseFile(const std::string& path);

  bool Has(const std::string& key);

  std::string Text(const std::string& key);
  /// A text that no earlier mapping of a list has; `taken` holds those so far.
  std::string UniqueText(const std::string& key, std::set<std::string>& taken);
  std::string TextOr(const std::string& key, const std::string& fallback);
  bool FlagOr(const std::string& key, bool fallback);

  /// A whole number from `least` to `most`.
  std::int64_t Number(const std::string& key,
                      std::int64_t least,
                      std::int64_t most);
  std::int64_t NumberOr(const std::string& key,
                        std::int64_t least,
                        std::int64_t most,
                        std::int64_t fallback);

  /// A duration such as 250us, 40ms, 3s, 10min or 1h.
  Duration Time(const std::string& key);
  Duration TimeOr(const std::string& key, Duration fallback);

  /// A share such as 20%, returned as 0.2.
  double Share(const std::string& key);
  double ShareOr(const std::string& key, double fallback);

  /// A rate such as 4000Mbit/s, in Mbit/s.
  double MegabitRate(const std::string& key);

  /// An IPv4 address.
  std::string Address(const std::string& key);

  std::vector<std::string> Texts(const std::string& key);
  Labels LabelsOr(const std::string& key);

  /// A mapping within this one, if there is one.
  std::optional<YamlMap> MapOr(const std::string& key);

  /// The mappings of a list; an absent list is empty.
  std::vector<YamlMap> Maps(const std::string& key, const std::string& what);

  /// Throws if the mapping holds a key that was not read.
  void Finish() const;

  /// Throws a SettingsError at the line of `key`, or of the mapping if the key
  /// is absent.
  [[noreturn]] void Fail(const std::string& key,
                         const std::string& message) const;

 private:
  void CheckKeys() const;
  YAML::Node Find(const std::string& key);
  YAML::Node Require(const std::string& key);
  std::string Scalar(const YAML::Node& node, const std::string& key) const;
  double WithUnit(const std::string& key, const std::string& unit);

  YAML::Node node_;
  std::string file_;
  std::string what_;
  std::vector<std::string> known_;
};

}  // namespace heatherlever

#endif  // LIBHEATHERLEVER_YAML_MAP_H_
