// The program of one entry host.

#include <unistd.h>

#include <atomic>
#include <cxxopts.hpp>
#include <iostream>

#include "heather-entry/entry_host.h"
#include "heather-entry/entry_settings.h"
#include "heathernet/log.h"
#include "heathernet/signal_waiter.h"

namespace heather_entry {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadInput = 2;

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "heather-entry",
      "Answers look-ups of callers and serves their requests.\n\n"
      "Example:\n  heather-entry --config entry-viti-central-1.yaml\n");
  auto add = options.add_options();
  add("config", "settings of this entry host (YAML)",
      cxxopts::value<std::string>());
  add("check", "check the settings and exit");
  add("verbose", "log at level debug");
  add("version", "print the version");
  add("help", "print this help");
  return options;
}

int Serve(const EntrySettings& settings) {
  std::atomic<EntryHost*> running = nullptr;
  heathernet::SignalWaiter signals([&running] {
    EntryHost* host = running;
    if (host == nullptr) {
      _exit(kExitFailure);
    }
    host->Shutdown();
  });
  EntryHost host(settings);
  running = &host;
  std::cout << "ready " << host.http_port() << " " << host.peer_port() << " "
            << host.admin_port() << std::endl;
  host.Run();
  return 0;
}

int Main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
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
    std::cerr << "heather-entry: --config FILE is missing; see --help\n";
    return kExitBadInput;
  }
  const auto settings = LoadEntrySettings(parsed["config"].as<std::string>());
  if (!settings.ok()) {
    std::cerr << "heather-entry: " << settings.status().message() << "\n";
    return kExitBadInput;
  }
  if (parsed.count("check") != 0) {
    return 0;
  }
  heathernet::SetLogLevel(parsed.count("verbose") != 0 ? "debug"
                                                       : settings->log_level);
  return Serve(*settings);
}

}  // namespace
}  // namespace heather_entry

int main(int argc, char** argv) {
  try {
    return heather_entry::Main(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "heather-entry: " << error.what() << "; see --help\n";
    return heather_entry::kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "heather-entry: " << error.what() << "\n";
    return heather_entry::kExitFailure;
  }
}
