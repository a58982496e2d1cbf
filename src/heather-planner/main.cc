// Keeps the membership epoch up to date. Any entry host may run it.

#include <cxxopts.hpp>
#include <iostream>

#include "heather-planner/planner.h"
#include "heather-planner/planner_settings.h"
#include "heathernet/log.h"
#include "heathernet/signal_waiter.h"

namespace heather_planner {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadInput = 2;

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "heather-planner",
      "Writes the membership epoch that entry hosts follow.\n\n"
      "Example:\n  heather-planner --config planner-1.yaml\n");
  auto add = options.add_options();
  add("config", "settings of this planner (YAML)",
      cxxopts::value<std::string>());
  add("check", "check the settings and exit");
  add("verbose", "log at level debug");
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
  if (parsed.count("config") == 0) {
    std::cerr << "heather-planner: --config FILE is missing; see --help\n";
    return kExitBadInput;
  }
  const auto settings = LoadPlannerSettings(parsed["config"].as<std::string>());
  if (!settings.ok()) {
    std::cerr << "heather-planner: " << settings.status().message() << "\n";
    return kExitBadInput;
  }
  if (parsed.count("check") != 0) {
    return 0;
  }
  heathernet::SetLogLevel(parsed.count("verbose") != 0 ? "debug"
                                                       : settings->log_level);
  Planner planner(*settings);
  heathernet::SignalWaiter signals([&planner] { planner.Stop(); });
  std::cout << "ready" << std::endl;
  planner.Run();
  return 0;
}

}  // namespace
}  // namespace heather_planner

int main(int argc, char** argv) {
  try {
    return heather_planner::Main(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "heather-planner: " << error.what() << "; see --help\n";
    return heather_planner::kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "heather-planner: " << error.what() << "\n";
    return heather_planner::kExitFailure;
  }
}
