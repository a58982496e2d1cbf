#include "heather-bench-placement/region_run.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <random>

#include "heather-bench-placement/deployment.h"
#include "heatherlever/headroom_allocator.h"
#include "heatherlever/placement_options.h"

namespace heather_bench_placement {
namespace {

using heatherlever::Duration;
using heatherlever::HeadroomAllocator;
using heatherlever::HeadroomReport;
using heatherlever::Instant;
using heatherlever::PlacementOptions;
using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(1);
constexpr Duration kRunTime = std::chrono::seconds(120);
constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kRegionDelay = milliseconds(12);
constexpr Duration kDeadline = milliseconds(500);
constexpr double kServiceMs = 40;
constexpr std::int64_t kPercent = 100;

struct Job {
  std::size_t host;
  std::size_t home;
  std::size_t region;
  Instant arrived;
};

struct Pool {
  int running = 0;
  std::deque<Job> queue;
  HeadroomAllocator allocator{PlacementOptions().stale_age};
  // Moved requests that run or wait here, by host.
  std::array<int, kHosts> in_flight{};
};

// Checks the cap over all hosts, for each home region, and at each host since
// the start of its window.
class CapChecker {
 public:
  bool Count(std::size_t host, std::size_t home, bool moved, Instant now) {
    const Duration window = PlacementOptions().cap_window;
    const bool sum_holds = Add(&sums_[home], moved);
    Counts& since_start =
        windows_[{host, home, static_cast<std::size_t>(now / window)}];
    return Add(&since_start, moved) && sum_holds;
  }

 private:
  struct Counts {
    std::int64_t moved = 0;
    std::int64_t total = 0;
  };

  static bool Add(Counts* counts, bool moved) {
    counts->total += 1;
    counts->moved += moved;
    return counts->moved * kPercent <=
           counts->total * static_cast<std::int64_t>(kMaxShift * kPercent);
  }

  std::array<Counts, kRegions> sums_;
  // By host, home region and number of the window.
  std::map<std::array<std::size_t, 3>, Counts> windows_;
};

class RegionRun {
 public:
  RegionRun(const PolicyEntry& policy,
            TrafficCase traffic_case,
            std::uint64_t seed)
      : lends_(policy.lends), case_(traffic_case), random_(seed) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      policies_.push_back(policy.make(host));
    }
  }

  RunResult Run() {
    for (now_ = Instant(0); now_ < kRunTime; now_ += kStep) {
      if (now_ % kReportInterval == Duration(0)) {
        Report();
      }
      Finish();
      Deliver();
      for (std::size_t home = 0; home < kRegions; ++home) {
        Arrive(home);
      }
    }
    Summarize();
    return result_;
  }

 private:
  bool Serves(std::size_t region) const {
    return !IsDead(case_, region, now_) &&
           DrainShareAt(case_, region, now_) < 1;
  }

  // A host of the home region, or of any other one while that is dead.
  std::size_t HostFor(std::size_t home) {
    std::uniform_int_distribution<std::size_t> any(0, kHosts - 1);
    std::size_t host = any(random_);
    const bool dead = IsDead(case_, home, now_);
    while ((RegionOfHost(host) == home) == dead) {
      host = any(random_);
    }
    return host;
  }

  void Arrive(std::size_t home) {
    const double step_ms =
        std::chrono::duration<double, std::milli>(kStep).count();
    const double mean =
        LoadAt(case_, home, now_) * kSlotsPerRegion / kServiceMs * step_ms;
    const int count = std::poisson_distribution<int>(mean)(random_);
    for (int i = 0; i < count; ++i) {
      Place(home);
    }
  }

  void Place(std::size_t home) {
    const std::size_t host = HostFor(home);
    const auto region = policies_[host]->Place(home, now_);
    const bool moved = region && *region != home;
    ++result_.requests;
    result_.moved += moved;
    result_.refused += !region;
    result_.cap_violations += !checker_.Count(host, home, moved, now_);
    if (!region) {
      return;
    }
    const Job job{host, home, *region, now_};
    if (moved) {
      ++pools_[job.region].in_flight[host];
    }
    const bool local = job.region == RegionOfHost(host);
    on_the_way_.emplace(now_ + (local ? Duration(0) : kRegionDelay), job);
  }

  void Deliver() {
    while (!on_the_way_.empty() && on_the_way_.begin()->first <= now_) {
      const Job job = on_the_way_.begin()->second;
      on_the_way_.erase(on_the_way_.begin());
      if (!Serves(job.region)) {
        ++result_.lost;
        Done(job);
        continue;
      }
      pools_[job.region].queue.push_back(job);
      Start(job.region);
    }
  }

  void Start(std::size_t region) {
    Pool& pool = pools_[region];
    result_.peak_load =
        std::max(result_.peak_load,
                 (pool.running + static_cast<double>(pool.queue.size())) /
                     kSlotsPerRegion);
    while (pool.running < kSlotsPerRegion && !pool.queue.empty()) {
      const Job job = pool.queue.front();
      pool.queue.pop_front();
      // The pool's owner drops what nobody waits for any more.
      if (now_ - job.arrived > kDeadline) {
        Done(job);
        continue;
      }
      ++pool.running;
      const double service_ms =
          std::exponential_distribution<double>(1 / kServiceMs)(random_);
      running_.emplace(
          now_ + Duration(static_cast<std::int64_t>(service_ms * 1000)), job);
    }
  }

  void Finish() {
    while (!running_.empty() && running_.begin()->first <= now_) {
      const Job job = running_.begin()->second;
      running_.erase(running_.begin());
      --pools_[job.region].running;
      const bool local = job.region == RegionOfHost(job.host);
      const Duration latency =
          now_ - job.arrived + (local ? Duration(0) : kRegionDelay);
      latencies_ms_.push_back(
          std::chrono::duration<double, std::milli>(latency).count());
      result_.in_time += latency <= kDeadline;
      Done(job);
      Start(job.region);
    }
  }

  void Done(const Job& job) {
    if (job.region != job.home) {
      --pools_[job.region].in_flight[job.host];
      policies_[job.host]->OnMoveDone(job.region);
    }
  }

  // Every pool reports to every host; what a report says is as old as the way.
  void Report() {
    std::array<int, kHosts> wanted{};
    for (std::size_t host = 0; host < kHosts; ++host) {
      wanted[host] = policies_[host]->TakeWanted();
    }
    for (std::size_t region = 0; region < kRegions; ++region) {
      for (const auto& policy : policies_) {
        policy->SetDead(region, IsDead(case_, region, now_));
        policy->SetDrainShare(region, DrainShareAt(case_, region, now_));
      }
      if (Serves(region)) {
        ReportPool(region, wanted);
      }
    }
  }

  void ReportPool(std::size_t region, const std::array<int, kHosts>& wanted) {
    Pool& pool = pools_[region];
    const int queued = static_cast<int>(pool.queue.size());
    HeadroomReport report{kSlotsPerRegion - pool.running,
                          queued,
                          kSlotsPerRegion,
                          {},
                          kRegionDelay};
    std::map<std::string, heatherlever::SenderUse> senders;
    for (std::size_t host = 0; host < kHosts; ++host) {
      senders[std::to_string(host)] = {pool.in_flight[host], wanted[host]};
    }
    const auto limits =
        pool.allocator.Divide(report.free_slots - queued, senders, now_);
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (lends_) {
        report.granted = limits.at(std::to_string(host));
      }
      policies_[host]->OnReport(region, report, now_ + kRegionDelay);
    }
  }

  void Summarize() {
    if (latencies_ms_.empty()) {
      return;
    }
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    double sum = 0;
    for (const double latency : latencies_ms_) {
      sum += latency;
    }
    result_.mean_ms = sum / static_cast<double>(latencies_ms_.size());
    result_.p99_ms = latencies_ms_[latencies_ms_.size() * 99 / 100];
  }

  bool lends_;
  TrafficCase case_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Policy>> policies_;
  std::array<Pool, kRegions> pools_;
  std::multimap<Instant, Job> on_the_way_;
  std::multimap<Instant, Job> running_;
  std::vector<double> latencies_ms_;
  CapChecker checker_;
  RunResult result_;
  Instant now_{0};
};

}  // namespace

RunResult RunRegions(const PolicyEntry& policy,
                     TrafficCase traffic_case,
                     std::uint64_t seed) {
  return RegionRun(policy, traffic_case, seed).Run();
}

}  // namespace heather_bench_placement
