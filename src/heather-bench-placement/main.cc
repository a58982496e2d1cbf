// Speed of placement, and what placement does to traffic beside naive policies.

#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "heather-bench-placement/policy.h"
#include "heather-bench-placement/region_run.h"
#include "heather-bench-placement/speed.h"
#include "heather-bench-placement/traffic_case.h"
#include "libheathernet/program.h"

namespace heather_bench_placement {
namespace {

constexpr int kNameWidth = 40;
constexpr int kNumberWidth = 11;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kPercent = 100;

struct TrafficRow {
  std::string traffic_case;
  std::string policy;
  RunResult result;
};

double Share(std::int64_t part, std::int64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

std::vector<TrafficRow> RunTraffic(std::uint64_t seed) {
  std::vector<TrafficRow> rows;
  for (const TrafficCase traffic_case : AllCases()) {
    for (const PolicyEntry& policy : AllPolicies()) {
      rows.push_back({CaseName(traffic_case), policy.name,
                      RunRegions(policy, traffic_case, seed)});
    }
  }
  return rows;
}

void PrintSpeed(const SpeedReport& report) {
  std::cout << "blocks " << report.table.blocks << ", bytes a block "
            << report.table.bytes_per_block << ", build ms "
            << report.table.build_ms << ", delta ms " << report.table.delta_ms
            << "\n\n"
            << std::left << std::setw(kNameWidth) << "operation" << std::right
            << std::setw(kNumberWidth) << "ns" << std::setw(kNumberWidth)
            << "M/s" << std::setw(kNumberWidth) << "allocs\n";
  for (const SpeedResult& row : report.operations) {
    std::cout << std::left << std::setw(kNameWidth) << row.operation
              << std::right << std::setw(kNumberWidth) << row.nanoseconds
              << std::setw(kNumberWidth)
              << kNanosecondsPerSecond / row.nanoseconds / 1e6
              << std::setw(kNumberWidth) << row.allocations << "\n";
  }
}

void PrintTraffic(const std::vector<TrafficRow>& rows) {
  std::cout << "\n"
            << std::left << std::setw(kNameWidth) << "case, policy"
            << std::right;
  for (const char* column :
       {"requests", "in time %", "moved %", "refused %", "lost %", "mean ms",
        "p99 ms", "peak load", "over cap"}) {
    std::cout << std::setw(kNumberWidth) << column;
  }
  std::cout << "\n";
  for (const TrafficRow& row : rows) {
    const RunResult& result = row.result;
    std::cout << std::left << std::setw(kNameWidth)
              << row.traffic_case + ", " + row.policy << std::right
              << std::setw(kNumberWidth) << result.requests;
    for (const std::int64_t part :
         {result.in_time, result.moved, result.refused, result.lost}) {
      std::cout << std::setw(kNumberWidth)
                << Share(part, result.requests) * kPercent;
    }
    std::cout << std::setw(kNumberWidth) << result.mean_ms
              << std::setw(kNumberWidth) << result.p99_ms
              << std::setw(kNumberWidth) << result.peak_load
              << std::setw(kNumberWidth) << result.cap_violations << "\n";
  }
}

nlohmann::json ToJson(const SpeedReport& speed,
                      const std::vector<TrafficRow>& rows) {
  nlohmann::json json;
  json["table"] = {{"blocks", speed.table.blocks},
                   {"bytes_per_block", speed.table.bytes_per_block},
                   {"build_ms", speed.table.build_ms},
                   {"delta_ms", speed.table.delta_ms}};
  for (const SpeedResult& row : speed.operations) {
    json["operations"].push_back({{"operation", row.operation},
                                  {"ns", row.nanoseconds},
                                  {"allocations", row.allocations}});
  }
  for (const TrafficRow& row : rows) {
    json["traffic"].push_back({{"case", row.traffic_case},
                               {"policy", row.policy},
                               {"requests", row.result.requests},
                               {"in_time", row.result.in_time},
                               {"moved", row.result.moved},
                               {"refused", row.result.refused},
                               {"lost", row.result.lost},
                               {"mean_ms", row.result.mean_ms},
                               {"p99_ms", row.result.p99_ms},
                               {"peak_load", row.result.peak_load},
                               {"cap_violations", row.result.cap_violations}});
  }
  return json;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("heather-bench-placement",
                           "Measures placement.\n\nExample:\n  "
                           "heather-bench-placement --json --seed 7\n");
  auto add = options.add_options();
  add("json", "print JSON instead of tables");
  add("seed", "seed of the traffic and the blocks",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("speed-only", "leave out the runs of traffic");
  add("blocks", "client blocks in the table",
      cxxopts::value<std::size_t>()->default_value("1500000"));
  return options;
}

int Run(const cxxopts::ParseResult& parsed) {
  const auto seed = parsed["seed"].as<std::uint64_t>();
  const SpeedReport speed =
      MeasureSpeed(parsed["blocks"].as<std::size_t>(), seed);
  const std::vector<TrafficRow> rows = parsed.count("speed-only") != 0
                                           ? std::vector<TrafficRow>()
                                           : RunTraffic(seed);
  if (parsed.count("json") != 0) {
    std::cout << ToJson(speed, rows).dump(2) << "\n";
    return 0;
  }
  std::cout << std::fixed << std::setprecision(2);
  PrintSpeed(speed);
  if (!rows.empty()) {
    PrintTraffic(rows);
  }
  return 0;
}

}  // namespace
}  // namespace heather_bench_placement

int main(int argc, char** argv) {
  return heathernet::RunProgram(heather_bench_placement::MakeOptions(), argc,
                                argv, heather_bench_placement::Run);
}
