#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "heathersteer/placement.h"
#include "heathersteer/route.h"
#include "heathersteer/service.h"

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kRun = seconds(12);
// A server that is cold must not get more than kFactor x its rate + kSlack
// requests in any second, from all hosts together.
constexpr double kFactor = 1.5;
constexpr double kSlack = 5;
constexpr int kDomains = 6;
// Clocks of the hosts differ by up to this.
constexpr Duration kMaxClockOffset = seconds(3000);

struct Host {
  Host(const PlacementOptions& options, Duration offset)
      : placement(options), clock_offset(offset) {}

  Placement placement;
  ServerTable table;
  Duration clock_offset;
  int waiting = 0;
};

// Hosts of six failure domains in three regions, and one server that is cold
// all the time.
class Fleet {
 public:
  Fleet(int hosts, double cold_requests_per_s, unsigned seed)
      : random_(seed), rate_(cold_requests_per_s) {
    service_.name = "proofs";
    service_.cold_requests_per_s = cold_requests_per_s;
    route_.target_latency = milliseconds(200);
    route_.timeout = seconds(1);
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(MakeHost(i));
    }
  }

  int size() const { return static_cast<int>(hosts_.size()); }
  Instant now() const { return now_; }

  // A new process on the host; requests that waited there are lost.
  void Restart(int index) { hosts_[index] = MakeHost(index); }

  // The host reads a list of the first `count` hosts.
  void Inform(int index, int count) {
    std::vector<HostLocation> locations;
    for (int i = 0; i < count; ++i) {
      const PlacementOptions options = Options(i);
      locations.push_back({options.host, options.region, options.domain});
    }
    Host& host = *hosts_[index];
    host.placement.cold_parts().SetHosts(std::move(locations),
                                         now_ + host.clock_offset);
  }

  // All hosts list the server as started anew, though the process may have
  // served them already.
  void ListNextIncarnation() {
    ++started_ms_;
    for (const auto& host : hosts_) {
      BackendServer server = host->table.Find("i-1")->server;
      server.started_ms = started_ms_;
      server.cold_until = ColdUntil(*host);
      host->table.Put(server);
    }
  }

  void InformAll() {
    for (int i = 0; i < size(); ++i) {
      Inform(i, size());
    }
  }

  // `running` tells whether a host runs; requests arrive at all hosts, and
  // those at stopped ones are handled together later on.
  template <typename Running>
  void Run(Duration duration, double requests_per_s, Running running) {
    const double per_step =
        requests_per_s * std::chrono::duration<double>(kStep).count() / size();
    std::bernoulli_distribution arrives(std::min(1.0, per_step));
    for (const Instant end = now_ + duration; now_ < end; now_ += kStep) {
      for (int i = 0; i < size(); ++i) {
        hosts_[i]->waiting += arrives(random_) ? 1 : 0;
        if (running(i)) {
          SendWaiting(*hosts_[i]);
        }
      }
    }
  }

  std::size_t sent() const { return sends_.size(); }

  std::size_t MostInASecond() const {
    std::size_t most = 0;
    for (std::size_t i = 0; i < sends_.size(); ++i) {
      const auto end = std::lower_bound(sends_.begin(), sends_.end(),
                                        sends_[i] + seconds(1));
      most = std::max(most, static_cast<std::size_t>(end - sends_.begin()) - i);
    }
    return most;
  }

  double allowed() const { return rate_ * kFactor + kSlack; }

 private:
  Duration RandomOffset() {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, Duration(kMaxClockOffset).count())(random_));
  }

  static PlacementOptions Options(int index) {
    PlacementOptions options;
    options.host = "host" + std::to_string(index);
    options.region = "region" + std::to_string(index % kDomains / 2);
    options.domain = "domain" + std::to_string(index % kDomains);
    return options;
  }

  std::unique_ptr<Host> MakeHost(int index) {
    auto host = std::make_unique<Host>(Options(index), RandomOffset());
    BackendServer server;
    server.id = "i-1";
    server.service = service_.name;
    server.region = "region0";
    server.domain = "domain0";
    server.slots = 1000;
    server.cold_until = ColdUntil(*host);
    host->table.Put(server);
    return host;
  }

  Instant ColdUntil(const Host& host) const {
    return now_ + host.clock_offset + seconds(3600);
  }

  void SendWaiting(Host& host) {
    PlacementRequest request;
    request.route = &route_;
    request.service = &service_;
    request.affinity_key = "key";
    const Instant now = now_ + host.clock_offset;
    for (; host.waiting > 0; --host.waiting) {
      const auto choice = host.placement.Choose(host.table, request, now);
      if (choice.server == nullptr) {
        // Rejected, unless the queue time is longer than the wait.
        host.waiting = std::min(host.waiting, 3);
        return;
      }
      host.placement.Commit(*choice.server, now);
      choice.server->load.Finished();
      sends_.push_back(now_);
    }
  }

  std::mt19937 random_;
  double rate_;
  Service service_;
  Route route_;
  std::vector<std::unique_ptr<Host>> hosts_;
  Instant now_ = seconds(10);
  std::vector<Instant> sends_;
  std::int64_t started_ms_ = 0;
};

struct Deployment {
  int hosts;
  double cold_requests_per_s;
};

class ColdFleetTest : public ::testing::TestWithParam<Deployment> {
 protected:
  static constexpr unsigned kSeeds = 6;
  const int hosts_ = GetParam().hosts;
  const double rate_ = GetParam().cold_requests_per_s;
};

INSTANTIATE_TEST_SUITE_P(Deployments,
                         ColdFleetTest,
                         ::testing::Values(Deployment{22, 9.7},
                                           Deployment{18, 15},
                                           Deployment{22, 0.5},
                                           Deployment{122, 9.7},
                                           Deployment{122, 40}),
                         [](const auto& test) {
                           return std::to_string(test.param.hosts) + "_hosts_" +
                                  std::to_string(test.index);
                         });

// After a common stop all hosts sent their next request at the same moment.
TEST_P(ColdFleetTest, HostsThatStopTogetherKeepToTheRate) {
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    Fleet fleet(hosts_, rate_, seed);
    fleet.InformAll();
    std::mt19937 random(seed);
    const Instant end = fleet.now() + kRun;
    while (fleet.now() < end) {
      fleet.Run(Duration(milliseconds(random() % 1500)), 100,
                [](int) { return true; });
      const unsigned share = random() % 4;
      fleet.Run(Duration(milliseconds(random() % 2500)), 100,
                [&](int i) { return i % 4 < static_cast<int>(share); });
    }
    ASSERT_LE(fleet.MostInASecond(), fleet.allowed()) << "seed " << seed;
  }
}

// Hosts that had nothing to send for some intervals sent at the same moment
// when a burst reached all of them.
TEST_P(ColdFleetTest, ServerThatIsListedAnewGetsNoMoreThanItsRate) {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(hosts_, rate_, seed);
    fleet.InformAll();
    fleet.Run(seconds(2), 100 * rate_, [](int) { return true; });
    for (int i = 0; i < 20; ++i) {
      fleet.Run(milliseconds(370), 100 * rate_, [](int) { return true; });
      fleet.ListNextIncarnation();
    }
    EXPECT_GE(fleet.sent(), 1U);
    EXPECT_LE(static_cast<double>(fleet.MostInASecond()), fleet.allowed());
  }
}

TEST_P(ColdFleetTest, HostsThatWereIdleKeepToTheRate) {
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    Fleet fleet(hosts_, rate_, seed);
    fleet.InformAll();
    std::mt19937 random(seed);
    const Instant end = fleet.now() + kRun;
    const auto all_run = [](int) { return true; };
    while (fleet.now() < end) {
      fleet.Run(Duration(milliseconds(random() % 3000)), 0.1, all_run);
      fleet.Run(Duration(milliseconds(random() % 1000)), 20.0 * hosts_,
                all_run);
    }
    ASSERT_LE(fleet.MostInASecond(), fleet.allowed()) << "seed " << seed;
  }
}

// All processes are replaced at once, and some seconds later read that there
// are more hosts than they had read first.
TEST_P(ColdFleetTest, HostsThatStartTogetherKeepToTheRate) {
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    Fleet fleet(hosts_, rate_, seed);
    fleet.InformAll();
    std::mt19937 random(seed);
    const auto all_run = [](int) { return true; };
    fleet.Run(seconds(3), 200, all_run);
    for (int i = 0; i < hosts_; ++i) {
      fleet.Restart(i);
    }
    fleet.Run(milliseconds(random() % 1000), 200, all_run);
    fleet.InformAll();
    fleet.Run(seconds(3), 200, all_run);
    ASSERT_LE(fleet.MostInASecond(), fleet.allowed()) << "seed " << seed;
  }
}

// Some hosts do not know yet of those that have just registered.
TEST_P(ColdFleetTest, HostsWithDifferentListsKeepToTheRate) {
  constexpr int kNewHosts = 4;
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    Fleet fleet(hosts_, rate_, seed);
    for (int i = 0; i < hosts_; ++i) {
      const bool informed = i >= hosts_ - kNewHosts || i % 2 == 0;
      fleet.Inform(i, hosts_ - (informed ? 0 : kNewHosts));
    }
    fleet.Run(seconds(4), 50.0 * hosts_, [](int) { return true; });
    ASSERT_GT(fleet.sent(), 0U);
    ASSERT_LE(fleet.MostInASecond(), fleet.allowed()) << "seed " << seed;
  }
}

// A bound that is kept by sending nothing is of no use to callers.
TEST_P(ColdFleetTest, MostOfTheRateIsUsedUnderLoad) {
  Fleet fleet(hosts_, rate_, 1);
  fleet.InformAll();
  fleet.Run(kRun, 50.0 * hosts_, [](int) { return true; });
  const double run_s = std::chrono::duration<double>(kRun).count();
  EXPECT_GE(static_cast<double>(fleet.sent()), 0.7 * rate_ * run_s);
}

}  // namespace
}  // namespace heathersteer
