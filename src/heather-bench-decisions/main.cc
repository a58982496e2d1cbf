// Simulates pools under load and faults, and compares policies.

#include <atomic>
#include <cxxopts.hpp>
#include <future>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "heather-bench-decisions/decision_cost.h"
#include "heather-bench-decisions/report.h"

namespace heather_bench_decisions {
namespace {

constexpr int kExitBadInput = 2;
constexpr int kThreads = 4;

struct Selection {
  std::string deployment;
  std::string scenario;
  std::string policy;
  std::vector<double> loads;
  std::uint64_t seed = 1;
  bool json = false;

  bool whole() const {
    return deployment.empty() && scenario.empty() &&
           (policy.empty() || policy == "ours") && loads.size() == 4;
  }
};

bool Selected(const std::string& wanted, const std::string& name) {
  return wanted.empty() || wanted == name;
}

struct Cell {
  const Deployment* deployment = nullptr;
  const Scenario* scenario = nullptr;
  double load = 0;
  PolicyFactory policy;
};

std::vector<Cell> Cells(const Selection& selection,
                        const heatherlever::PoolOptions& options) {
  std::vector<Cell> cells;
  for (const Deployment& deployment : Deployments()) {
    for (const Scenario& scenario : Scenarios()) {
      for (const double load : selection.loads) {
        for (const PolicyFactory& policy : Policies(options)) {
          if (Selected(selection.deployment, deployment.name) &&
              Selected(selection.scenario, scenario.name) &&
              Selected(selection.policy, policy.name)) {
            cells.push_back({&deployment, &scenario, load, policy});
          }
        }
      }
    }
  }
  return cells;
}

// Runs the cells on a few threads; each is deterministic by itself.
std::vector<Row> RunGrid(const Selection& selection,
                         const heatherlever::PoolOptions& options) {
  const std::vector<Cell> cells = Cells(selection, options);
  std::vector<std::vector<Row>> results(cells.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < cells.size(); i = next++) {
      const Cell& cell = cells[i];
      results[i] = RunRows(*cell.deployment, *cell.scenario, cell.load,
                           cell.policy, selection.seed);
    }
  };
  std::vector<std::future<void>> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.push_back(std::async(std::launch::async, work));
  }
  std::vector<Row> rows;
  for (std::future<void>& thread : threads) {
    thread.get();
  }
  for (const std::vector<Row>& result : results) {
    rows.insert(rows.end(), result.begin(), result.end());
  }
  return rows;
}

void PrintDecisionCost() {
  for (const int queued : {0, 100, 1000}) {
    const DecisionCost cost = MeasureDecisionCost(queued);
    std::cout << "a request with " << queued << " waiting: " << cost.nanoseconds
              << " ns, " << cost.allocations << " allocations\n";
  }
}

heatherlever::LimitPolicy LimitPolicyOf(const std::string& name) {
  if (name == "fixed") {
    return heatherlever::LimitPolicy::kFixed;
  }
  if (name == "gradient") {
    return heatherlever::LimitPolicy::kGradient;
  }
  throw std::invalid_argument("no limit policy is named '" + name + "'");
}

int Main(int argc, char** argv) {
  cxxopts::Options options("heather-bench-decisions",
                           "Simulates pools under load and faults.\n\n"
                           "Example:\n  heather-bench-decisions --scenario "
                           "healthy --load 0.7,0.95\n");
  auto add = options.add_options();
  add("json", "print a JSON array of rows");
  add("deployment", "only this one",
      cxxopts::value<std::string>()->default_value(""));
  add("scenario", "only this one",
      cxxopts::value<std::string>()->default_value(""));
  add("policy", "only this one",
      cxxopts::value<std::string>()->default_value(""));
  add("load", "multiples of the capacity",
      cxxopts::value<std::vector<double>>()->default_value("0.7,0.95,1.5,5"));
  add("seed", "seed of every run",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("limit", "limit policy of ours: gradient or fixed",
      cxxopts::value<std::string>()->default_value("gradient"));
  add("lifo", "serve idempotent work last in, first out under overload");
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
  Selection selection;
  selection.deployment = parsed["deployment"].as<std::string>();
  selection.scenario = parsed["scenario"].as<std::string>();
  selection.policy = parsed["policy"].as<std::string>();
  selection.loads = parsed["load"].as<std::vector<double>>();
  selection.seed = parsed["seed"].as<std::uint64_t>();
  selection.json = parsed.count("json") != 0;
  heatherlever::PoolOptions pool_options;
  pool_options.limit_policy = LimitPolicyOf(parsed["limit"].as<std::string>());
  if (parsed.count("lifo") != 0) {
    pool_options.queue_order = heatherlever::QueueOrder::kAdaptiveLifo;
  }
  const std::vector<Row> rows = RunGrid(selection, pool_options);
  if (selection.json) {
    PrintJson(rows, std::cout);
    return 0;
  }
  PrintHeading(std::cout);
  PrintRows(rows, std::cout);
  if (selection.whole()) {
    PrintTargets(rows, std::cout);
    PrintDecisionCost();
  }
  return 0;
}

}  // namespace
}  // namespace heather_bench_decisions

int main(int argc, char** argv) {
  try {
    return heather_bench_decisions::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "heather-bench-decisions: " << error.what() << "\n";
    return heather_bench_decisions::kExitBadInput;
  }
}
