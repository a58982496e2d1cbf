// Keeps the membership epoch up to date. Any entry host may run it.

#include <condition_variable>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <random>
#include <stdexcept>

#include "heather-planner/planner.h"
#include "heather-planner/planner_settings.h"
#include "heathernet/log.h"
#include "heathernet/platform_client.h"
#include "heathernet/signal_waiter.h"
#include "libheathernet/program.h"

namespace heather_planner {
namespace {

// Looks and plans until a signal asks for the end.
int Serve(const PlannerSettings& settings) {
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  heathernet::SignalWaiter signals([&] {
    const std::lock_guard<std::mutex> lock(mutex);
    stopping = true;
    changed.notify_all();
  });
  auto client = heathernet::PlatformClient::Create(settings.platform);
  if (!client.ok()) {
    throw std::runtime_error(std::string(client.status().message()));
  }
  Planner planner(settings, **client);
  std::cout << "ready" << std::endl;
  std::unique_lock<std::mutex> lock(mutex);
  while (!stopping) {
    lock.unlock();
    planner.Step();
    lock.lock();
    changed.wait_for(lock, settings.interval, [&] { return stopping; });
  }
  lock.unlock();
  planner.Release();
  return 0;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "heather-planner",
      "Writes the membership epoch that entry hosts follow.\n\n"
      "Example:\n  heather-planner --config planner-1.yaml\n");
  auto add = options.add_options();
  add("config", "settings of this planner (YAML)",
      cxxopts::value<std::string>());
  add("check", "check the settings and exit");
  add("verbose", "log at level debug");
  return options;
}

int Run(const cxxopts::ParseResult& parsed) {
  const auto settings = LoadPlannerSettings(heathernet::ConfigPath(parsed));
  if (!settings.ok()) {
    throw heathernet::BadInput(std::string(settings.status().message()));
  }
  if (parsed.count("check") != 0) {
    return 0;
  }
  heathernet::SetLogLevel(parsed.count("verbose") != 0 ? "debug"
                                                       : settings->log_level);
  PlannerSettings own = *settings;
  // Two processes of one name must not be taken for each other.
  own.lease.self = own.name + "/" + std::to_string(std::random_device{}());
  own.platform.client_id = "planner/" + own.lease.self;
  return Serve(own);
}

}  // namespace
}  // namespace heather_planner

int main(int argc, char** argv) {
  return heathernet::RunProgram(heather_planner::MakeOptions(), argc, argv,
                                heather_planner::Run);
}
