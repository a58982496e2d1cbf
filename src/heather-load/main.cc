// Open-loop load over entry hosts, with a table by kind of work.

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <map>

#include "heather-load/arrival.h"
#include "heather-load/experiment.h"
#include "heather-load/experiment_report.h"
#include "heather-load/experiment_table.h"
#include "heather-load/load_plan.h"
#include "heather-load/load_run.h"
#include "heather-load/load_table.h"
#include "heather-load/run_check.h"

namespace heather_load {
namespace {

constexpr int kExitBroken = 1;
constexpr int kExitBadInput = 2;

void PrintReasons(const std::vector<RequestResult>& results) {
  std::map<std::string, int> counts;
  for (const RequestResult& result : results) {
    if (!result.reason.empty()) {
      ++counts[result.reason];
    }
  }
  for (const auto& [reason, count] : counts) {
    std::cout << "  " << reason << ": " << count << "\n";
  }
}

int RunOneLoad(const cxxopts::ParseResult& parsed) {
  const auto plan = LoadLoadPlan(parsed["config"].as<std::string>());
  if (!plan.ok()) {
    std::cerr << "heather-load: " << plan.status().message() << "\n";
    return kExitBadInput;
  }
  const std::vector<Arrival> arrivals = MakeArrivals(*plan);
  const std::vector<RequestResult> results = RunLoad(*plan, arrivals);
  const std::vector<LoadRow> rows = MakeRows(*plan, results);
  const RunCheck check = CheckRuns(*plan, results);
  if (parsed.count("json") != 0) {
    std::cout << ToJson(rows, check).dump(2) << "\n";
  } else {
    std::cout << FormatTable(rows, check);
  }
  if (parsed.count("verbose") != 0) {
    PrintReasons(results);
  }
  return PromisesKept(rows, check) ? 0 : kExitBroken;
}

void WriteReport(const std::string& path,
                 const std::vector<SettingResult>& results) {
  std::ofstream file(path);
  file << ExperimentPage(results);
  file.close();
  if (!file) {
    throw std::runtime_error(path + ": the report cannot be written");
  }
}

int RunSideBySide(const cxxopts::ParseResult& parsed) {
  const auto experiment =
      Experiment::Load(parsed["experiment"].as<std::string>());
  if (!experiment.ok()) {
    std::cerr << "heather-load: " << experiment.status().message() << "\n";
    return kExitBadInput;
  }
  const std::vector<SettingResult> results = RunExperiment(*experiment);
  if (parsed.count("json") != 0) {
    std::cout << ExperimentJson(results).dump(2) << "\n";
  } else {
    std::cout << FormatExperiment(results);
  }
  if (parsed.count("report") != 0) {
    WriteReport(parsed["report"].as<std::string>(), results);
  }
  const bool kept =
      std::all_of(results.begin(), results.end(),
                  [](const auto& result) { return result.promises_kept; });
  return kept ? 0 : kExitBroken;
}

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "heather-load",
      "Sends an open-loop load and checks every answer.\n\n"
      "Example:\n  heather-load --config examples/vatuwaqa/load.yaml\n\n"
      "Exit codes: 0 every promise kept, 1 one broken, 2 bad input\n");
  auto add = options.add_options();
  add("config", "the load (YAML)", cxxopts::value<std::string>());
  add("experiment", "loads to run side by side, repeatedly (YAML)",
      cxxopts::value<std::string>());
  add("report", "experiment: write a page with plots (HTML)",
      cxxopts::value<std::string>());
  add("json", "print JSON instead of a table");
  add("verbose", "print why requests were not served");
  add("version", "print the version");
  add("help", "print this help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("version") != 0) {
    std::cout << HEATHER_VERSION << "\n";
    return 0;
  }
  if (parsed.count("experiment") != 0) {
    return RunSideBySide(parsed);
  }
  if (parsed.count("config") == 0) {
    std::cerr << "heather-load: --config FILE is missing; see --help\n";
    return kExitBadInput;
  }
  return RunOneLoad(parsed);
}

}  // namespace
}  // namespace heather_load

int main(int argc, char** argv) {
  try {
    return heather_load::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "heather-load: " << error.what() << "\n";
    return heather_load::kExitBadInput;
  }
}
