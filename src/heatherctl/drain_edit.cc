#include "heatherctl/drain_edit.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>

#include "heatherctl/platform_access.h"
#include "heatherctl/text_lines.h"
#include "heatherlever/nearest_word.h"

namespace heatherctl {
namespace {

constexpr char kDrains[] = "drains";

YAML::Node ParseConfig(const std::string& config) {
  try {
    YAML::Node root = YAML::Load(config);
    if (root.IsMap() && root.Style() != YAML::EmitterStyle::Flow) {
      return root;
    }
  } catch (const YAML::Exception& error) {
    throw InputError(std::string("the newest configuration: ") + error.what());
  }
  throw InputError("the newest configuration is no YAML block mapping");
}

YAML::Node DrainsOf(const YAML::Node& root) {
  const YAML::Node drains = root[kDrains];
  return drains && drains.IsSequence() ? drains
                                       : YAML::Node(YAML::NodeType::Sequence);
}

// Half-open range of lines, counted from 0.
struct LineRange {
  std::size_t begin = 0;
  std::size_t end = 0;
};

bool IsBlankOrComment(const std::string& line) {
  const std::size_t first = line.find_first_not_of(" \t");
  return first == std::string::npos || line[first] == '#';
}

// The lines of `drains:`, up to the next key and the comments before it; an
// empty range at the end if there is no such key.
LineRange DrainLines(const YAML::Node& root,
                     const std::vector<std::string>& lines) {
  LineRange range{lines.size(), lines.size()};
  for (const auto& entry : root) {
    if (entry.first.Scalar() == kDrains) {
      range.begin = static_cast<std::size_t>(entry.first.Mark().line);
    }
  }
  for (const auto& entry : root) {
    const auto line = static_cast<std::size_t>(entry.first.Mark().line);
    if (line > range.begin) {
      range.end = std::min(range.end, line);
    }
  }
  while (range.end > range.begin + 1 &&
         IsBlankOrComment(lines[range.end - 1])) {
    --range.end;
  }
  return range;
}

std::string EmitDrains(const YAML::Node& drains) {
  YAML::Emitter emitter;
  emitter << YAML::BeginMap << YAML::Key << kDrains << YAML::Value;
  if (drains.size() == 0) {
    emitter << YAML::Flow << YAML::BeginSeq << YAML::EndSeq;
  } else {
    emitter << drains;
  }
  emitter << YAML::EndMap;
  return emitter.c_str();
}

// Replaces the lines of `drains:`, so that comments elsewhere are kept.
std::string ReplaceDrains(const std::string& config,
                          const YAML::Node& root,
                          const YAML::Node& drains) {
  std::vector<std::string> lines = TextLines(config);
  const LineRange range = DrainLines(root, lines);
  const std::vector<std::string> fresh = TextLines(EmitDrains(drains));
  const auto begin = lines.begin() + static_cast<std::ptrdiff_t>(range.begin);
  const auto end = lines.begin() + static_cast<std::ptrdiff_t>(range.end);
  lines.insert(lines.erase(begin, end), fresh.begin(), fresh.end());
  return JoinLines(lines);
}

std::vector<std::string> NamesOf(const YAML::Node& drains) {
  std::vector<std::string> names;
  for (const YAML::Node& drain : drains) {
    names.push_back(drain["name"].as<std::string>(""));
  }
  return names;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

std::vector<std::string> DrainNames(const std::string& config) {
  return NamesOf(DrainsOf(ParseConfig(config)));
}

std::string AddDrain(const std::string& config, const NewDrain& drain) {
  const YAML::Node root = ParseConfig(config);
  YAML::Node drains = DrainsOf(root);
  if (Contains(NamesOf(drains), drain.name)) {
    throw InputError("a drain is named '" + drain.name + "' already");
  }
  YAML::Node added;
  added["name"] = drain.name;
  added["select"] = drain.select;
  if (!drain.ramp.empty()) {
    added["ramp"] = drain.ramp;
  }
  drains.SetStyle(YAML::EmitterStyle::Block);
  drains.push_back(added);
  return ReplaceDrains(config, root, drains);
}

std::string RemoveDrain(const std::string& config, const std::string& name) {
  const YAML::Node root = ParseConfig(config);
  const YAML::Node drains = DrainsOf(root);
  const std::vector<std::string> names = NamesOf(drains);
  if (!Contains(names, name)) {
    throw InputError("no drain is named '" + name + "'" +
                     heatherlever::NearestWordHint(name, names));
  }
  YAML::Node kept(YAML::NodeType::Sequence);
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] != name) {
      kept.push_back(drains[i]);
    }
  }
  return ReplaceDrains(config, root, kept);
}

std::string FreeDrainName(const std::string& config) {
  const std::vector<std::string> names = DrainNames(config);
  std::size_t number = 1;
  while (Contains(names, "drain-" + std::to_string(number))) {
    ++number;
  }
  return "drain-" + std::to_string(number);
}

}  // namespace heatherctl
