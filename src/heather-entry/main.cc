// The program of one entry host.

#include <unistd.h>

#include <atomic>
#include <cxxopts.hpp>
#include <iostream>

#include "heather-entry/entry_host.h"
#include "heather-entry/entry_settings.h"
#include "heathernet/log.h"
#include "heathernet/signal_waiter.h"
#include "libheathernet/program.h"

namespace heather_entry {
namespace {

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
  return options;
}

int Serve(const EntrySettings& settings) {
  std::atomic<EntryHost*> running = nullptr;
  heathernet::SignalWaiter signals([&running] {
    EntryHost* host = running;
    if (host == nullptr) {
      _exit(heathernet::kExitFailure);
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

int Run(const cxxopts::ParseResult& parsed) {
  const auto settings = LoadEntrySettings(heathernet::ConfigPath(parsed));
  if (!settings.ok()) {
    throw heathernet::BadInput(std::string(settings.status().message()));
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
  return heathernet::RunProgram(heather_entry::MakeOptions(), argc, argv,
                                heather_entry::Run);
}
