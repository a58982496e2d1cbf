// Keeps the membership epoch while it holds the planner's lease.

#include <signal.h>
#include <sodium.h>
#include <spdlog/spdlog.h>

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "heather-planner/planner.h"
#include "heather-planner/planner_settings.h"
#include "heathernet/log.h"
#include "heathernet/platform_client.h"

namespace heather_planner {
namespace {

constexpr int kExitBadInput = 2;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read '" + path + "'");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

template <typename Value>
Value Checked(absl::StatusOr<Value> value) {
  if (!value.ok()) {
    throw std::runtime_error(std::string(value.status().message()));
  }
  return *std::move(value);
}

// SIGTERM and SIGINT end the program, SIGUSR1 asks for a dump.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

timespec ToTimespec(heatherlever::Duration duration) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  return {seconds.count(),
          std::chrono::nanoseconds(duration - seconds).count()};
}

void Run(Planner& planner, heatherlever::Duration poll_interval) {
  const sigset_t signals = BlockSignals();
  const timespec pause = ToTimespec(poll_interval);
  while (true) {
    planner.Step();
    const int signal = sigtimedwait(&signals, nullptr, &pause);
    if (signal == SIGUSR1) {
      std::cout << planner.Dump() << std::endl;
    } else if (signal > 0) {
      planner.Release();
      return;
    }
  }
}

// Two processes of one host name must not be taken for each other, so each
// has an incarnation.
std::string NewIncarnation() {
  return std::to_string(randombytes_random());
}

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "heather-planner",
      "Writes the membership epoch while it holds the planner's lease.\n"
      "SIGTERM releases the lease and ends it; SIGUSR1 prints its state.\n\n"
      "Example:\n  heather-planner --config planner.yaml\n");
  auto add = options.add_options();
  add("config", "settings, as YAML", cxxopts::value<std::string>());
  add("verbose", "log at debug level");
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
    throw std::runtime_error("--config is missing; see --help");
  }
  heathernet::SetLogLevel(parsed.count("verbose") != 0 ? "debug" : "info");
  const std::string path = parsed["config"].as<std::string>();
  PlannerSettings settings =
      Checked(PlannerSettings::Parse(path, ReadFile(path)));
  settings.lease.self = settings.name + "/" + NewIncarnation();
  settings.platform.client_id = "planner/" + settings.lease.self;
  const auto client =
      Checked(heathernet::PlatformClient::Create(settings.platform));
  Planner planner(settings, *client);
  Run(planner, settings.poll_interval);
  return 0;
}

}  // namespace
}  // namespace heather_planner

int main(int argc, char** argv) {
  try {
    return heather_planner::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "heather-planner: " << error.what() << "\n";
    return heather_planner::kExitBadInput;
  }
}
