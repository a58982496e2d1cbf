// Runs a script over one model of the decision library, in virtual time.

#include <cxxopts.hpp>
#include <iostream>
#include <sstream>
#include <utility>

#include "heather-scenario/parse_duration.h"
#include "heather-scenario/scenario_error.h"
#include "heather-scenario/scenario_model.h"
#include "libheatherlever/text_file.h"
#include "libheathernet/program.h"

namespace heather_scenario {
namespace {

constexpr int kExitDifferent = 1;

std::string ReadFile(const std::string& path) {
  auto text = heatherlever::ReadTextFile(path);
  if (!text) {
    throw ScenarioError("cannot read '" + path + "'");
  }
  return *std::move(text);
}

std::vector<std::string> Words(const std::string& line) {
  std::istringstream stream(line.substr(0, line.find('#')));
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

ScenarioStep ParseStep(const std::vector<std::string>& words) {
  if (words.size() < 3 || words[0] != "at") {
    throw ScenarioError("expected 'at TIME VERB [ARGUMENT...]'");
  }
  return {ParseDuration(words[1]), words[2], {words.begin() + 3, words.end()}};
}

// The output of a whole script. Errors name the script's line.
std::string RunScript(const std::string& path) {
  std::istringstream lines(ReadFile(path));
  std::unique_ptr<ScenarioModel> model;
  std::string output;
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    const std::vector<std::string> words = Words(line);
    if (words.empty()) {
      continue;
    }
    try {
      if (words[0] == "model" && words.size() == 2) {
        model = MakeScenarioModel(words[1]);
        continue;
      }
      if (!model) {
        throw ScenarioError("the first line has to be 'model NAME'");
      }
      const ScenarioStep step = ParseStep(words);
      for (const std::string& printed : model->Run(step)) {
        output.append(words[1]).append(" ").append(printed).append("\n");
      }
    } catch (const ScenarioError& error) {
      throw ScenarioError(path + ":" + std::to_string(number) + ": " +
                          error.what());
    }
  }
  return output;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("heather-scenario",
                           "Runs a scenario script in virtual time.\n\n"
                           "Example:\n  heather-scenario --expect "
                           "testsuite/rank-names/expected.txt "
                           "testsuite/rank-names/script.scn\n");
  auto add = options.add_options();
  add("expect", "compare the output with this file",
      cxxopts::value<std::string>());
  add("script", "the script", cxxopts::value<std::string>());
  options.parse_positional({"script"});
  return options;
}

int Run(const cxxopts::ParseResult& parsed) {
  if (parsed.count("script") == 0) {
    throw ScenarioError("no script was named; see --help");
  }
  const std::string output = RunScript(parsed["script"].as<std::string>());
  std::cout << output;
  if (parsed.count("expect") == 0) {
    return 0;
  }
  const std::string expected = parsed["expect"].as<std::string>();
  if (output == ReadFile(expected)) {
    return 0;
  }
  std::cerr << "the output differs from " << expected << "\n";
  return kExitDifferent;
}

}  // namespace
}  // namespace heather_scenario

int main(int argc, char** argv) {
  return heathernet::RunProgram(heather_scenario::MakeOptions(), argc, argv,
                                heather_scenario::Run);
}
