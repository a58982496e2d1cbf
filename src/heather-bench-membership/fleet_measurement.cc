#include "heather-bench-membership/fleet_measurement.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "heatherlever/membership_fleet.h"

namespace heather_bench_membership {

using heatherlever::Duration;
using heatherlever::GossipEntry;
using heatherlever::Instant;
using heatherlever::MembershipFleet;
using heatherlever::MemberState;

namespace {

constexpr Duration kSecond{1'000'000};
constexpr Duration kWarmUp = 60 * kSecond;
constexpr Duration kLoadPeriod = 5 * kSecond;
constexpr Duration kConfigurationPeriod = 72 * kSecond;
constexpr Duration kPollStep{50'000};
constexpr Duration kMaxSpread = 120 * kSecond;
constexpr int kPoolsPerRegion = 3;
constexpr std::size_t kLoadPayloadBytes = 32;
constexpr std::size_t kDigestPayloadBytes = 16;
constexpr double kMicrosecondsPerSecond = 1e6;

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

// A fleet under an ordinary load of control data.
class LoadedFleet {
 public:
  explicit LoadedFleet(const FleetSettings& settings)
      : settings_(settings), fleet_({}, settings.seed) {
    for (int i = 0; i < settings_.hosts; ++i) {
      const std::string region = "region-" + std::to_string(Region(i));
      fleet_.Add(Name(i), region, region + DomainSuffix(i));
    }
    fleet_.DeliverList();
    for (int i = 0; i < settings_.hosts; ++i) {
      fleet_.Watch(Name(i), {Name(Other(i, 1)), Name(Other(i, -1))});
    }
  }

  MembershipFleet& fleet() { return fleet_; }

  static std::string Name(int index) {
    return "entry-" + std::to_string(index) + ".example";
  }

  /// Runs with loads and configurations.
  void Run(Duration duration) {
    const Instant end = fleet_.now() + duration;
    while (fleet_.now() < end) {
      PublishLoads();
      if (fleet_.now() >= next_configuration_) {
        next_configuration_ += kConfigurationPeriod;
        PublishConfiguration();
      }
      fleet_.RunFor(std::min(kLoadPeriod, end - fleet_.now()));
    }
  }

  void PublishConfiguration() {
    fleet_.Publish(Name(0), {"configuration", ++configuration_,
                             std::string(kDigestPayloadBytes, 'c'), true});
  }
  std::uint64_t configuration() const { return configuration_; }

  /// Time until `done` holds for every running host; kMaxSpread if it never
  /// does.
  Duration SpreadTime(const std::function<bool(const std::string&)>& done) {
    const Instant start = fleet_.now();
    while (fleet_.now() - start < kMaxSpread) {
      bool all = true;
      for (int i = 0; i < settings_.hosts && all; ++i) {
        all = fleet_.Find(Name(i)) == nullptr || done(Name(i));
      }
      if (all) {
        break;
      }
      fleet_.RunFor(kPollStep);
    }
    return fleet_.now() - start;
  }

 private:
  int Region(int index) const { return index % settings_.regions; }
  std::string DomainSuffix(int index) const {
    return index / settings_.regions % 2 == 0 ? "-a" : "-b";
  }
  // The host before or after one in its region, as pairs of owner and deputy.
  int Other(int index, int direction) const {
    const int step = direction * settings_.regions;
    const int other = index + step;
    const bool inside = other >= 0 && other < settings_.hosts;
    return inside ? other : index;
  }

  void PublishLoads() {
    ++load_version_;
    for (int region = 0; region < settings_.regions; ++region) {
      for (int pool = 0; pool < kPoolsPerRegion; ++pool) {
        const std::string key =
            "load/" + std::to_string(region) + "/" + std::to_string(pool);
        fleet_.Publish(
            Name(region),
            {key, load_version_, std::string(kLoadPayloadBytes, 'l'), false});
      }
    }
  }

  FleetSettings settings_;
  MembershipFleet fleet_;
  std::uint64_t load_version_ = 0;
  std::uint64_t configuration_ = 0;
  Instant next_configuration_{};
};

double TotalBytes(const MembershipFleet::Traffic& traffic,
                  const TransportOverhead& overhead) {
  const auto calls =
      static_cast<double>(traffic.calls_sent + traffic.calls_received);
  const auto connects =
      static_cast<double>(traffic.connects_sent + traffic.connects_received);
  const auto bytes =
      static_cast<double>(traffic.bytes_sent + traffic.bytes_received);
  return bytes + calls * overhead.bytes_per_call +
         connects * overhead.bytes_per_connection;
}

void ReadTraffic(const MembershipFleet& fleet,
                 const FleetSettings& settings,
                 const TransportOverhead& overhead,
                 FleetFigures& figures) {
  const double seconds = Seconds(settings.window);
  for (int i = 0; i < settings.hosts; ++i) {
    const auto& traffic = fleet.traffic(LoadedFleet::Name(i));
    const double total = TotalBytes(traffic, overhead) / seconds;
    figures.calls_per_second +=
        static_cast<double>(traffic.calls_sent + traffic.calls_received) /
        seconds / settings.hosts;
    figures.message_bytes_per_second +=
        static_cast<double>(traffic.bytes_sent + traffic.bytes_received) /
        seconds / settings.hosts;
    figures.total_bytes_per_second += total / settings.hosts;
    figures.max_total_bytes_per_second =
        std::max(figures.max_total_bytes_per_second, total);
  }
}

bool HasState(const MembershipFleet& fleet,
              const std::string& observer,
              const std::string& id,
              MemberState state) {
  const auto* member = fleet.Find(observer)->table().Find(id);
  return member != nullptr && member->state() == state;
}

}  // namespace

FleetFigures MeasureFleet(const FleetSettings& settings,
                          const TransportOverhead& overhead) {
  LoadedFleet load(settings);
  MembershipFleet& fleet = load.fleet();
  FleetFigures figures;
  figures.hosts = settings.hosts;
  figures.regions = settings.regions;

  load.Run(kWarmUp);
  fleet.ResetTraffic();
  const double cpu_before = CpuSeconds();
  fleet.Restart(LoadedFleet::Name(settings.hosts - 1));
  load.Run(settings.window);
  figures.cpu_us_per_second = (CpuSeconds() - cpu_before) *
                              kMicrosecondsPerSecond / settings.hosts /
                              Seconds(settings.window);
  ReadTraffic(fleet, settings, overhead, figures);

  load.PublishConfiguration();
  figures.configuration_spread = load.SpreadTime([&](const std::string& id) {
    const GossipEntry* entry = fleet.Find(id)->entries().Find("configuration");
    return entry != nullptr && entry->version == load.configuration();
  });

  const std::string leaving = LoadedFleet::Name(1);
  fleet.Leave(leaving);
  figures.leave_spread = load.SpreadTime([&](const std::string& id) {
    return HasState(fleet, id, leaving, MemberState::kLeaving);
  });

  const std::string killed = LoadedFleet::Name(2);
  const std::string watcher = LoadedFleet::Name(2 + settings.regions);
  const Instant kill_time = fleet.now();
  fleet.Kill(killed);
  figures.watched_suspicion = load.SpreadTime([&](const std::string& id) {
    return id != watcher || !HasState(fleet, id, killed, MemberState::kAlive);
  });
  load.SpreadTime([&](const std::string& id) {
    return HasState(fleet, id, killed, MemberState::kDead);
  });
  figures.death_spread = fleet.now() - kill_time;
  return figures;
}

}  // namespace heather_bench_membership
