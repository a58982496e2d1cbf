// Measures what the membership of entry hosts costs at several sizes, in
// virtual time and over the real encoding of messages.

#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "heather-bench-membership/fleet_measurement.h"
#include "heather-bench-membership/transport_overhead.h"
#include "libheathernet/program.h"

namespace heather_bench_membership {
namespace {

constexpr int kLargeFleet = 200;
constexpr int kRegionsOfLargeFleets = 10;
constexpr int kRegionsOfSmallFleets = 3;
constexpr int kMinHosts = 8;
constexpr int kColumnWidth = 12;

double Milliseconds(heatherlever::Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

nlohmann::json ToJson(const FleetFigures& figures) {
  return {
      {"hosts", figures.hosts},
      {"regions", figures.regions},
      {"calls_per_second", figures.calls_per_second},
      {"message_bytes_per_second", figures.message_bytes_per_second},
      {"total_bytes_per_second", figures.total_bytes_per_second},
      {"max_total_bytes_per_second", figures.max_total_bytes_per_second},
      {"cpu_us_per_second", figures.cpu_us_per_second},
      {"configuration_spread_ms", Milliseconds(figures.configuration_spread)},
      {"leave_spread_ms", Milliseconds(figures.leave_spread)},
      {"watched_suspicion_ms", Milliseconds(figures.watched_suspicion)},
      {"death_spread_ms", Milliseconds(figures.death_spread)}};
}

template <typename... Cells>
void PrintRow(const Cells&... cells) {
  ((std::cout << std::setw(kColumnWidth) << cells), ...);
  std::cout << "\n";
}

void PrintTable(const std::vector<FleetFigures>& rows) {
  std::cout << "A host and second, sent and received together; times in ms.\n";
  PrintRow("hosts", "regions", "calls", "msg bytes", "all bytes", "max bytes",
           "cpu us", "config", "leave", "watched", "dead");
  std::cout << std::fixed << std::setprecision(0);
  for (const FleetFigures& row : rows) {
    PrintRow(
        row.hosts, row.regions, row.calls_per_second,
        row.message_bytes_per_second, row.total_bytes_per_second,
        row.max_total_bytes_per_second, row.cpu_us_per_second,
        Milliseconds(row.configuration_spread), Milliseconds(row.leave_spread),
        Milliseconds(row.watched_suspicion), Milliseconds(row.death_spread));
  }
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("heather-bench-membership",
                           "Measures the membership of entry hosts.\n\n"
                           "Example:\n  heather-bench-membership --hosts "
                           "20,40,80,1000 --json\n");
  auto add = options.add_options();
  add("hosts", "sizes to measure, each at least 8",
      cxxopts::value<std::vector<int>>()->default_value("20,40,80"));
  add("seconds", "length of the measured window, in virtual time",
      cxxopts::value<int>()->default_value("60"));
  add("seed", "seed of the random choices",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("json", "print JSON instead of a table");
  return options;
}

int Run(const cxxopts::ParseResult& parsed) {
  const TransportOverhead overhead = MeasureTransportOverhead();
  std::vector<FleetFigures> rows;
  for (const int hosts : parsed["hosts"].as<std::vector<int>>()) {
    if (hosts < kMinHosts) {
      throw heathernet::BadInput("--hosts wants at least 8, found " +
                                 std::to_string(hosts));
    }
    FleetSettings settings;
    settings.hosts = hosts;
    settings.regions =
        hosts >= kLargeFleet ? kRegionsOfLargeFleets : kRegionsOfSmallFleets;
    settings.window = std::chrono::seconds(parsed["seconds"].as<int>());
    settings.seed = parsed["seed"].as<std::uint64_t>();
    rows.push_back(MeasureFleet(settings, overhead));
  }

  if (parsed.count("json") == 0) {
    PrintTable(rows);
    std::cout << "Overhead: " << overhead.bytes_per_call << " bytes a call, "
              << overhead.bytes_per_connection << " bytes a connection.\n";
    return 0;
  }
  nlohmann::json json;
  json["overhead"] = {{"bytes_per_call", overhead.bytes_per_call},
                      {"bytes_per_connection", overhead.bytes_per_connection}};
  for (const FleetFigures& row : rows) {
    json["fleets"].push_back(ToJson(row));
  }
  std::cout << json.dump(2) << "\n";
  return 0;
}

}  // namespace
}  // namespace heather_bench_membership

int main(int argc, char** argv) {
  return heathernet::RunProgram(heather_bench_membership::MakeOptions(), argc,
                                argv, heather_bench_membership::Run);
}
