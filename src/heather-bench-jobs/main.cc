// Measures what callers of non-idempotent jobs see when one member of a pool's
// term is killed, in virtual time, by number of members.

#include <array>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string_view>

#include "heather-bench-jobs/kill_trial.h"
#include "libheathernet/program.h"

namespace heather_bench_jobs {
namespace {

constexpr std::size_t kMaxMembers = 3;
constexpr double kPerThousand = 1000;
constexpr std::array<std::string_view, 4> kVictimNames = {"none", "home",
                                                          "buddy", "witness"};

struct Row {
  std::size_t members;
  Victim victim;
  int trials;
  TrialResult sum;
};

Row Measure(std::size_t members, Victim victim, int trials) {
  Row row{members, victim, trials, {}};
  for (int trial = 0; trial < trials; ++trial) {
    row.sum.Add(
        RunKillTrial(members, victim, static_cast<std::uint64_t>(trial) + 1));
  }
  return row;
}

std::vector<Row> MeasureAll(int trials) {
  std::vector<Row> rows;
  for (std::size_t members = 1; members <= kMaxMembers; ++members) {
    for (std::size_t victim = 0; victim <= members; ++victim) {
      rows.push_back(Measure(members, static_cast<Victim>(victim), trials));
    }
  }
  return rows;
}

double PerThousand(const Row& row, std::int64_t count) {
  return kPerThousand * static_cast<double>(count) / row.trials;
}

double MeanStartMs(const Row& row) {
  return row.sum.start_ms /
         static_cast<double>(std::max<std::int64_t>(row.sum.starts, 1));
}

void PrintTable(const std::vector<Row>& rows) {
  std::printf("%7s %8s %7s %9s %9s %9s %13s %11s %9s %8s %10s\n", "members",
              "killed", "trials", "jobs", "done", "not-run", "unknown/1000",
              "lost/1000", "start-ms", "gap-ms", "violations");
  for (const Row& row : rows) {
    std::printf("%7zu %8s %7d %9ld %9ld %9ld %13.0f %11.0f %9.2f %8.0f %10ld\n",
                row.members,
                kVictimNames[static_cast<std::size_t>(row.victim)].data(),
                row.trials, row.sum.jobs, row.sum.done, row.sum.not_run,
                PerThousand(row, row.sum.unknown),
                PerThousand(row, row.sum.records_lost), MeanStartMs(row),
                row.sum.longest_gap_ms / row.trials, row.sum.violations);
  }
}

void PrintJson(const std::vector<Row>& rows) {
  std::cout << "[";
  const char* separator = "\n";
  for (const Row& row : rows) {
    std::cout << separator << "  {\"members\": " << row.members
              << ", \"killed\": \""
              << kVictimNames[static_cast<std::size_t>(row.victim)]
              << "\", \"trials\": " << row.trials
              << ", \"jobs\": " << row.sum.jobs
              << ", \"done\": " << row.sum.done
              << ", \"not_run\": " << row.sum.not_run
              << ", \"unknown\": " << row.sum.unknown
              << ", \"records_lost\": " << row.sum.records_lost
              << ", \"unknown_run\": " << row.sum.unknown_run
              << ", \"start_ms\": " << MeanStartMs(row)
              << ", \"gap_ms\": " << row.sum.longest_gap_ms / row.trials
              << ", \"violations\": " << row.sum.violations << "}";
    separator = ",\n";
  }
  std::cout << "\n]\n";
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "heather-bench-jobs",
      "Kills members of a pool's job ledger in virtual time.\n\n"
      "Example:\n  heather-bench-jobs --trials 200\n");
  auto add = options.add_options();
  add("trials", "kills of each kind",
      cxxopts::value<int>()->default_value("100"));
  add("json", "print JSON instead of a table");
  return options;
}

int Run(const cxxopts::ParseResult& parsed) {
  const std::vector<Row> rows = MeasureAll(parsed["trials"].as<int>());
  if (parsed.count("json") != 0) {
    PrintJson(rows);
  } else {
    PrintTable(rows);
  }
  return 0;
}

}  // namespace
}  // namespace heather_bench_jobs

int main(int argc, char** argv) {
  return heathernet::RunProgram(heather_bench_jobs::MakeOptions(), argc, argv,
                                heather_bench_jobs::Run);
}
