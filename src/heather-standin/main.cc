// Stand-ins of what the system talks to, for tests and experiments.

#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cxxopts.hpp>
#include <iostream>
#include <limits>
#include <map>
#include <memory>
#include <vector>

#include "heather-standin/backend_server.h"
#include "heather-standin/control_server.h"
#include "heather-standin/platform_server.h"
#include "heather-standin/relay.h"
#include "heather-standin/standin_error.h"
#include "heathernet/log.h"
#include "libheathernet/program.h"

namespace heather_standin {
namespace {

constexpr char kDescription[] =
    "Stand-ins of the platform, of backend servers and of a link.\n"
    "Prints 'ready PORT...' on standard output when it listens (a relay: "
    "its port and its control port); SIGTERM ends it.\n\n"
    "Examples:\n"
    "  heather-standin --role platform --port 7300\n"
    "  heather-standin --role backend --port 7400 --count 16 --slots 9 "
    "--service-ms 40\n"
    "  heather-standin --role relay --listen 127.0.0.1:7500 "
    "--to 127.0.0.1:7300 --port 7501\n";

// Blocks the signals that end the program, before any thread starts, so that
// only WaitForEnd receives them.
sigset_t BlockEndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void WaitForEnd(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

// A backend server takes hundreds of connections, and a process may hold many
// backend servers.
void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

void PrintReady(const std::vector<std::uint16_t>& ports) {
  std::cout << "ready";
  for (const std::uint16_t port : ports) {
    std::cout << " " << port;
  }
  std::cout << std::endl;
}

ServiceDistribution ParseDistribution(const std::string& name) {
  const auto* found = std::find(kServiceDistributionNames.begin(),
                                kServiceDistributionNames.end(), name);
  if (found == kServiceDistributionNames.end()) {
    throw heathernet::BadInput("service distribution '" + name +
                               "' is not one of fixed, exponential");
  }
  return static_cast<ServiceDistribution>(found -
                                          kServiceDistributionNames.begin());
}

BackendOptions ParseBackendOptions(const cxxopts::ParseResult& parsed) {
  BackendOptions options;
  options.name = parsed["name"].as<std::string>();
  options.slots = parsed["slots"].as<int>();
  options.max_connections = parsed["max-connections"].as<std::size_t>();
  options.service_time = std::chrono::duration<double, std::milli>(
      parsed["service-ms"].as<double>());
  options.distribution =
      ParseDistribution(parsed["service-distribution"].as<std::string>());
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.cold_time =
      std::chrono::milliseconds(parsed["cold-ms"].as<std::int64_t>());
  options.cold_factor = parsed["cold-factor"].as<double>();
  return options;
}

void RunPlatform(const cxxopts::ParseResult& parsed, const sigset_t& signals) {
  PlatformServer server;
  PrintReady({server.Start(parsed["address"].as<std::string>(),
                           parsed["port"].as<std::uint16_t>())});
  WaitForEnd(signals);
}

void RunBackends(const cxxopts::ParseResult& parsed, const sigset_t& signals) {
  const int count = parsed["count"].as<int>();
  const auto first_port = parsed["port"].as<std::uint16_t>();
  std::vector<std::unique_ptr<BackendServer>> servers;
  std::vector<std::uint16_t> ports;
  for (int i = 0; i < count; ++i) {
    BackendOptions options = ParseBackendOptions(parsed);
    options.seed += static_cast<std::uint64_t>(i);
    if (count > 1) {
      options.name += "-" + std::to_string(i);
    }
    servers.push_back(std::make_unique<BackendServer>(options));
    const int port = first_port == 0 ? 0 : first_port + i;
    ports.push_back(servers.back()->Start(parsed["address"].as<std::string>(),
                                          static_cast<std::uint16_t>(port)));
  }
  PrintReady(ports);
  WaitForEnd(signals);
}

// "127.0.0.1:80" as an address and a port.
Relay::Endpoint ParseEndpoint(const cxxopts::ParseResult& parsed,
                              const std::string& option) {
  const std::string text =
      parsed.count(option) != 0 ? parsed[option].as<std::string>() : "";
  const std::size_t colon = text.rfind(':');
  int port = -1;
  if (colon != std::string::npos) {
    const std::string digits = text.substr(colon + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  }
  if (port < 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    throw StandinError("--" + option + " needs ADDRESS:PORT, found '" + text +
                       "'");
  }
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

void RunRelay(const cxxopts::ParseResult& parsed, const sigset_t& signals) {
  Relay relay;
  const std::uint16_t port =
      relay.Start(ParseEndpoint(parsed, "listen"), ParseEndpoint(parsed, "to"));
  ControlServer control(
      [&relay](const auto& faults) { relay.SetFaults(faults); },
      [&relay] { return relay.Statistics(); });
  PrintReady({port, control.Start(parsed["address"].as<std::string>(),
                                  parsed["port"].as<std::uint16_t>())});
  WaitForEnd(signals);
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("heather-standin", kDescription);
  auto add = options.add_options();
  add("role", "platform, backend or relay", cxxopts::value<std::string>());
  add("address", "IP address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("port", "port to listen on, for a relay its control port; 0 for any",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("name", "backend: its name",
      cxxopts::value<std::string>()->default_value("backend"));
  add("count", "backend: how many, on consecutive ports",
      cxxopts::value<int>()->default_value("1"));
  add("slots", "backend: requests at the same time",
      cxxopts::value<int>()->default_value("4"));
  add("max-connections", "backend: connection limit; 0 for none",
      cxxopts::value<std::size_t>()->default_value("0"));
  add("service-ms", "backend: mean service time in milliseconds",
      cxxopts::value<double>()->default_value("40"));
  add("service-distribution", "backend: fixed or exponential",
      cxxopts::value<std::string>()->default_value("exponential"));
  add("seed", "backend: seed of the service times",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("cold-ms", "backend: how long it is slow after a start",
      cxxopts::value<std::int64_t>()->default_value("0"));
  add("cold-factor", "backend: how many times slower it is then",
      cxxopts::value<double>()->default_value("1"));
  add("listen", "relay: ADDRESS:PORT to listen on",
      cxxopts::value<std::string>());
  add("to", "relay: ADDRESS:PORT to connect to", cxxopts::value<std::string>());
  add("verbose", "log at debug level");
  return options;
}

int Run(const cxxopts::ParseResult& parsed) {
  heathernet::SetLogLevel(parsed.count("verbose") != 0 ? "debug" : "info");
  using Role = void (*)(const cxxopts::ParseResult&, const sigset_t&);
  static const std::map<std::string, Role> roles = {
      {"platform", RunPlatform}, {"backend", RunBackends}, {"relay", RunRelay}};
  const std::string name =
      parsed.count("role") != 0 ? parsed["role"].as<std::string>() : "";
  const auto role = roles.find(name);
  if (role == roles.end()) {
    throw heathernet::BadInput("role '" + name + "' is not known; see --help");
  }
  RaiseFileLimit();
  role->second(parsed, BlockEndSignals());
  return 0;
}

}  // namespace
}  // namespace heather_standin

int main(int argc, char** argv) {
  return heathernet::RunProgram(heather_standin::MakeOptions(), argc, argv,
                                heather_standin::Run);
}
