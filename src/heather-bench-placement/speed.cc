#include "heather-bench-placement/speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <set>
#include <stdexcept>

#include "heather-bench-placement/allocation_counter.h"
#include "heather-bench-placement/deployment.h"
#include "heatherlever/lookup_directory.h"
#include "heatherlever/placement.h"
#include "heatherlever/selector.h"

namespace heather_bench_placement {
namespace {

using Clock = std::chrono::steady_clock;
using heatherlever::BlockSpec;
using heatherlever::BlockTable;
using heatherlever::Instant;

constexpr int kRounds = 2'000'000;
constexpr std::size_t kSamples = 1 << 16;
constexpr std::size_t kDeltaBlocks = 1000;
constexpr int kMinLength = 16;
constexpr int kMaxLength = 24;
constexpr double kZipfExponent = 1;
constexpr std::size_t kTableRegions = 10;

double MillisecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

// Keeps the compiler from dropping what is measured.
volatile std::uint64_t sink = 0;

template <typename Operation>
SpeedResult Measure(const std::string& name, Operation operation) {
  std::uint64_t sum = 0;
  const std::uint64_t allocations = AllocationCount();
  const auto start = Clock::now();
  for (int i = 0; i < kRounds; ++i) {
    sum += operation(static_cast<std::size_t>(i) % kSamples);
  }
  const double elapsed_ms = MillisecondsSince(start);
  sink = sum;
  return {name, elapsed_ms * 1e6 / kRounds,
          static_cast<double>(AllocationCount() - allocations) / kRounds};
}

std::string Numbered(std::string name, std::size_t number) {
  return name.append(std::to_string(number));
}

std::vector<std::string> TableRegionNames() {
  std::vector<std::string> names;
  names.reserve(kTableRegions);
  for (std::size_t i = 0; i < kTableRegions; ++i) {
    names.push_back(Numbered("r", i));
  }
  return names;
}

std::vector<BlockSpec> RandomBlocks(std::size_t count,
                                    std::mt19937_64* random) {
  std::uniform_int_distribution<int> length(kMinLength, kMaxLength);
  std::set<std::pair<std::uint32_t, int>> seen;
  const auto names = TableRegionNames();
  std::vector<BlockSpec> blocks;
  blocks.reserve(count);
  while (blocks.size() < count) {
    // Long prefixes are the usual ones.
    const int bits = std::max(length(*random), length(*random));
    const auto address =
        static_cast<std::uint32_t>((*random)()) & (~0U << (32 - bits));
    if (seen.emplace(address, bits).second) {
      blocks.push_back({address, bits, names[blocks.size() % names.size()]});
    }
  }
  return blocks;
}

std::vector<std::uint32_t> RandomAddresses(std::mt19937_64* random) {
  std::vector<std::uint32_t> addresses(kSamples);
  for (auto& address : addresses) {
    address = static_cast<std::uint32_t>((*random)());
  }
  return addresses;
}

// Addresses of blocks whose popularity falls with their place.
std::vector<std::uint32_t> ZipfAddresses(const std::vector<BlockSpec>& blocks,
                                         std::mt19937_64* random) {
  std::vector<double> sums;
  sums.reserve(blocks.size());
  double sum = 0;
  for (std::size_t i = 0; i < blocks.size(); ++i) {
    sum += std::pow(static_cast<double>(i + 1), -kZipfExponent);
    sums.push_back(sum);
  }
  std::uniform_real_distribution<double> place(0, sum);
  std::vector<std::uint32_t> addresses(kSamples);
  for (auto& address : addresses) {
    const auto found =
        std::lower_bound(sums.begin(), sums.end(), place(*random));
    address =
        blocks[static_cast<std::size_t>(found - sums.begin())].address + 1;
  }
  return addresses;
}

BlockTable TimeTable(const std::vector<BlockSpec>& blocks,
                     const std::vector<BlockSpec>& fresh,
                     TableResult* result) {
  const auto start = Clock::now();
  auto table = BlockTable::Build(blocks, TableRegionNames());
  if (!table.ok()) {
    throw std::logic_error(table.status().ToString());
  }
  result->build_ms = MillisecondsSince(start);
  result->blocks = table->size();
  result->bytes_per_block = static_cast<double>(table->memory_bytes()) /
                            static_cast<double>(table->size());
  const auto delta_start = Clock::now();
  const auto status =
      table->Apply({{blocks.begin(), blocks.begin() + kDeltaBlocks}, fresh});
  if (!status.ok()) {
    throw std::logic_error(status.ToString());
  }
  result->delta_ms = MillisecondsSince(delta_start);
  return *std::move(table);
}

heatherlever::Placement MakePlacement(const heatherlever::DeploymentSpec& spec,
                                      const BlockTable& table) {
  auto placement = heatherlever::Placement::Create(
      spec, spec.regions[0].name, std::make_shared<BlockTable>(table), {});
  if (!placement.ok()) {
    throw std::logic_error(placement.status().ToString());
  }
  for (const auto& region : spec.regions) {
    placement->OnSummary(
        kService, region.name,
        {kSlotsPerRegion, 0, kSlotsPerRegion, kSlotsPerRegion, {}}, Instant(0));
  }
  return *std::move(placement);
}

// Ten regions with the table's names, as at the target size.
heatherlever::DeploymentSpec MakeLargeSpec() {
  heatherlever::DeploymentSpec spec = MakeDeployment();
  const auto backend = spec.backends.front();
  spec.regions.clear();
  spec.backends.clear();
  spec.links.clear();
  for (const std::string& name : TableRegionNames()) {
    spec.regions.push_back({name, {}, {"a", "b"}});
    spec.backends.push_back(backend);
    spec.backends.back().region = name;
    spec.links.push_back(
        {"r0", name, std::chrono::milliseconds(12), 4000, 0.5});
  }
  return spec;
}

SpeedResult MeasureSelector() {
  const auto selector = heatherlever::Selector::Parse(
      "tier = gold and not zone in (a, b) or has spare");
  const heatherlever::Labels labels = {
      {"tier", "gold"}, {"zone", "c"}, {"name", "x"}, {"service", "y"}};
  return Measure("selector, 4 labels", [&](std::size_t) {
    return static_cast<std::uint64_t>(selector->Matches(labels));
  });
}

SpeedResult MeasureLookup(const heatherlever::DeploymentSpec& spec,
                          const BlockTable& table,
                          const std::vector<std::uint32_t>& addresses) {
  std::vector<heatherlever::Member> members;
  members.reserve(kHosts);
  for (std::size_t host = 0; host < kHosts; ++host) {
    members.push_back(
        {Numbered("host", host), 1, Numbered("r", host % kTableRegions), "a"});
  }
  const heatherlever::LookupDirectory directory(
      spec, members, {}, 0, std::make_shared<BlockTable>(table), {});
  return Measure("look-up answer", [&](std::size_t i) {
    return directory.Find(0, addresses[i]).hosts.size();
  });
}

std::vector<SpeedResult> MeasureDecisions(
    const heatherlever::DeploymentSpec& spec,
    const BlockTable& table,
    const std::vector<std::uint32_t>& addresses) {
  heatherlever::Placement placement = MakePlacement(spec, table);
  const auto decide = [&](std::size_t i) {
    const auto decision =
        placement.Decide({0, addresses[i], 1000, 1000}, Instant(i));
    if (decision.outcome == heatherlever::PlacementOutcome::kMoved) {
      placement.OnMoveDone(0, decision.region);
    }
    return static_cast<std::uint64_t>(decision.region);
  };
  std::vector<SpeedResult> results = {Measure("decision, home serves", decide)};
  for (const auto& region : spec.regions) {
    placement.SetDrainShare(kService, region.name,
                            region.name < "r5" ? 1.0 : 0.0);
  }
  results.push_back(Measure("decision, half of the regions drained", decide));
  return results;
}

}  // namespace

SpeedReport MeasureSpeed(std::size_t blocks, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<BlockSpec> specs = RandomBlocks(blocks + kDeltaBlocks, &random);
  const std::vector<BlockSpec> fresh(specs.end() - kDeltaBlocks, specs.end());
  specs.resize(blocks);
  SpeedReport report;
  const BlockTable table = TimeTable(specs, fresh, &report.table);
  const auto uniform = RandomAddresses(&random);
  const auto zipf = ZipfAddresses(specs, &random);
  const auto find = [&](const std::vector<std::uint32_t>& addresses) {
    return [&](std::size_t i) { return table.Find(addresses[i]).value_or(0); };
  };
  const auto spec = MakeLargeSpec();
  report.operations = {
      Measure("block look-up, random addresses", find(uniform)),
      Measure("block look-up, zipf addresses", find(zipf)),
      MeasureLookup(spec, table, zipf),
      MeasureSelector(),
  };
  for (const SpeedResult& result : MeasureDecisions(spec, table, zipf)) {
    report.operations.push_back(result);
  }
  return report;
}

}  // namespace heather_bench_placement
