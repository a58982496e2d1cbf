// Simulates a load pattern in virtual time with the production steering code.

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "heather-simulate/load_pattern.h"
#include "heather-simulate/outcome_report.h"
#include "heather-simulate/server_chooser.h"
#include "heather-simulate/simulation.h"
#include "heatherlever/nearest_word.h"
#include "heatherlever/settings_error.h"
#include "libheathernet/program.h"

namespace heather_simulate {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "heather-simulate",
      "Plays a load pattern in virtual time: callers with their retries, the "
      "product's decisions on\nplacing, waiting and rejecting, and servers "
      "with "
      "slots, queues and warm objects.\n\n"
      "Examples:\n"
      "  heather-simulate examples/load/burst.yaml\n"
      "  heather-simulate examples/load/burst.yaml --choosers "
      "placement,random,least-loaded --plot burst.svg\n");
  auto add = options.add_options();
  add("choosers", "ways of choosing a server, compared in this order",
      cxxopts::value<std::vector<std::string>>()->default_value("placement"));
  add("seed", "instead of the pattern's seed", cxxopts::value<std::uint64_t>());
  add("json", "print JSON instead of a table");
  add("plot", "write an SVG picture to this file",
      cxxopts::value<std::string>());
  add("pattern", "the load pattern, a YAML file",
      cxxopts::value<std::string>());
  options.parse_positional({"pattern"});
  options.positional_help("PATTERN");
  return options;
}

ChooserKind ParseChooser(const std::string& name) {
  const auto kind = ChooserFromName(name);
  if (!kind) {
    throw heathernet::BadInput(
        "no chooser is named '" + name + "'" +
        heatherlever::NearestWordHint(name, ChooserNames()));
  }
  return *kind;
}

LoadPattern ReadFrom(const cxxopts::ParseResult& parsed) {
  if (parsed.count("pattern") == 0) {
    throw heathernet::BadInput("no load pattern was named; see --help");
  }
  try {
    LoadPattern pattern = ReadPattern(parsed["pattern"].as<std::string>());
    if (parsed.count("seed") != 0) {
      pattern.seed = parsed["seed"].as<std::uint64_t>();
    }
    return pattern;
  } catch (const heatherlever::SettingsError& error) {
    throw heathernet::BadInput(error.what());
  }
}

int Run(const cxxopts::ParseResult& parsed) {
  const LoadPattern pattern = ReadFrom(parsed);
  std::vector<NamedOutcome> outcomes;
  for (const std::string& name :
       parsed["choosers"].as<std::vector<std::string>>()) {
    outcomes.push_back({name, Simulate(pattern, ParseChooser(name))});
  }
  std::cout << (parsed.count("json") != 0 ? FormatJson(pattern, outcomes)
                                          : FormatTable(pattern, outcomes));
  if (parsed.count("plot") != 0) {
    const std::string path = parsed["plot"].as<std::string>();
    std::ofstream file(path);
    file << FormatPlot(pattern, outcomes);
    if (!file.flush()) {
      throw std::runtime_error("cannot write '" + path + "'");
    }
  }
  return 0;
}

}  // namespace
}  // namespace heather_simulate

int main(int argc, char** argv) {
  return heathernet::RunProgram(heather_simulate::MakeOptions(), argc, argv,
                                heather_simulate::Run);
}
