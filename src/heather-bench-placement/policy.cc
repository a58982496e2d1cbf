#include "heather-bench-placement/policy.h"

#include <array>
#include <random>
#include <stdexcept>
#include <utility>

#include "heather-bench-placement/deployment.h"
#include "heatherlever/placement.h"

namespace heather_bench_placement {
namespace {

using heatherlever::HeadroomReport;
using heatherlever::Instant;
using heatherlever::Placement;

constexpr std::uint32_t kRequestBytes = 1000;
constexpr std::uint32_t kAnswerBytes = 20000;

class PlacementPolicy : public Policy {
 public:
  explicit PlacementPolicy(std::size_t host)
      : spec_(MakeDeployment()), placement_(Make(spec_, host)) {}

  std::optional<std::size_t> Place(std::size_t home, Instant now) override {
    const auto decision = placement_.Decide(
        {0, ClientOf(home), kRequestBytes, kAnswerBytes}, now);
    wanted_ += decision.reason == heatherlever::PlacementReason::kNoHeadroom;
    if (decision.outcome == heatherlever::PlacementOutcome::kRefused) {
      return std::nullopt;
    }
    return decision.region;
  }

  void OnMoveDone(std::size_t region) override {
    placement_.OnMoveDone(0, region);
  }

  void OnReport(std::size_t region,
                const HeadroomReport& report,
                Instant now) override {
    placement_.OnSummary(kService, spec_.regions[region].name, report, now);
  }

  void SetDead(std::size_t region, bool dead) override {
    placement_.SetRegionDead(spec_.regions[region].name, dead);
  }

  void SetDrainShare(std::size_t region, double share) override {
    placement_.SetDrainShare(kService, spec_.regions[region].name, share);
  }

  int TakeWanted() override { return std::exchange(wanted_, 0); }

 private:
  static Placement Make(const heatherlever::DeploymentSpec& spec,
                        std::size_t host) {
    heatherlever::PlacementOptions options;
    options.headroom_sender_index = static_cast<int>(host);
    auto placement = Placement::Create(
        spec, spec.regions[RegionOfHost(host)].name, MakeBlocks(spec), options);
    if (!placement.ok()) {
      throw std::logic_error(placement.status().ToString());
    }
    return *std::move(placement);
  }

  heatherlever::DeploymentSpec spec_;
  Placement placement_;
  int wanted_ = 0;
};

class AlwaysHome : public Policy {
 public:
  std::optional<std::size_t> Place(std::size_t home, Instant) override {
    return home;
  }
};

class RandomRegion : public Policy {
 public:
  explicit RandomRegion(std::size_t host) : random_(host) {}

  std::optional<std::size_t> Place(std::size_t, Instant) override {
    return std::uniform_int_distribution<std::size_t>(0, kRegions - 1)(random_);
  }

 private:
  std::mt19937_64 random_;
};

// Sends to the region with most free slots when the last report of home shows
// none, or when home is dead or draining.
class UncappedSpill : public Policy {
 public:
  std::optional<std::size_t> Place(std::size_t home, Instant) override {
    if (!dead_[home] && !draining_[home] && free_[home] > 0) {
      return home;
    }
    std::size_t best = home;
    for (std::size_t region = 0; region < kRegions; ++region) {
      if (!dead_[region] && !draining_[region] &&
          (dead_[best] || draining_[best] || free_[region] > free_[best])) {
        best = region;
      }
    }
    return best;
  }

  void OnReport(std::size_t region,
                const HeadroomReport& report,
                Instant) override {
    free_[region] = report.free_slots - report.queued;
  }

  void SetDead(std::size_t region, bool dead) override { dead_[region] = dead; }

  void SetDrainShare(std::size_t region, double share) override {
    draining_[region] = share > 0;
  }

 private:
  std::array<int, kRegions> free_{};
  std::array<bool, kRegions> dead_{};
  std::array<bool, kRegions> draining_{};
};

}  // namespace

std::vector<PolicyEntry> AllPolicies() {
  return {
      {"ours, lent headroom", true,
       [](std::size_t host) {
         return std::make_unique<PlacementPolicy>(host);
       }},
      {"ours, equal parts", false,
       [](std::size_t host) {
         return std::make_unique<PlacementPolicy>(host);
       }},
      {"always home", false,
       [](std::size_t) { return std::make_unique<AlwaysHome>(); }},
      {"random region", false,
       [](std::size_t host) { return std::make_unique<RandomRegion>(host); }},
      {"spill, no cap", false,
       [](std::size_t) { return std::make_unique<UncappedSpill>(); }},
  };
}

}  // namespace heather_bench_placement
