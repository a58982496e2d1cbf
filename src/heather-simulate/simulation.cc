#include "heather-simulate/simulation.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "heather-simulate/event_queue.h"
#include "heather-simulate/simulated_host.h"
#include "heather-simulate/simulated_server.h"

namespace heather_simulate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathersteer::BackendServer;

// Minimum time that callers wait before a retry.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(20);

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

class Simulation {
 public:
  Simulation(const LoadPattern& pattern, ChooserKind chooser)
      : pattern_(pattern), random_(pattern.seed) {
    for (const PatternService& service : pattern_.services) {
      AddInitialServers(service);
    }
    AddHosts(chooser);
    PublishServers();
  }

  LoadOutcome Run() {
    for (const PatternKind& kind : pattern_.kinds) {
      for (const auto& [region, rate] : kind.rates) {
        ScheduleArrival(kind, region, rate);
      }
    }
    for (const PatternEvent& event : pattern_.events) {
      events_.At(event.at, [this, &event] { ApplyEvent(event); });
    }
    Duration max_deadline{0};
    for (const PatternKind& kind : pattern_.kinds) {
      max_deadline = std::max(max_deadline, kind.deadline);
    }
    events_.RunUntil(pattern_.duration + max_deadline);
    CollectCounts();
    return std::move(outcome_);
  }

 private:
  // A caller's request over all of its attempts.
  struct CallerRequest {
    const PatternKind& kind;
    std::string region;
    std::string object;
    Instant started_at{0};
    int attempts = 0;
  };

  const std::string& RegionOf(const std::string& domain) const {
    for (const PatternRegion& region : pattern_.regions) {
      const auto& domains = region.domains;
      if (std::find(domains.begin(), domains.end(), domain) != domains.end()) {
        return region.name;
      }
    }
    return domain;
  }

  void AddServer(const PatternService& service,
                 const std::string& domain,
                 bool cold) {
    BackendServer record;
    record.id = service.name + "-" + std::to_string(servers_.size());
    record.service = service.name;
    record.region = RegionOf(domain);
    record.domain = domain;
    record.slots = service.slots;
    const std::string id = record.id;
    servers_[id] =
        std::make_unique<SimulatedServer>(events_, service, std::move(record));
    if (cold) {
      servers_[id]->Start(cold);
    }
  }

  void AddInitialServers(const PatternService& service) {
    for (const auto& [domain, count] : service.servers) {
      for (int i = 0; i < count; ++i) {
        AddServer(service, domain, false);
      }
    }
  }

  void AddHosts(ChooserKind chooser) {
    int count = 0;
    for (const PatternRegion& region : pattern_.regions) {
      count +=
          static_cast<int>(region.domains.size()) * region.hosts_per_domain;
    }
    for (const PatternRegion& region : pattern_.regions) {
      for (const std::string& domain : region.domains) {
        for (int i = 0; i < region.hosts_per_domain; ++i) {
          const std::string name = "host-" + std::to_string(hosts_.size());
          hosts_.push_back(std::make_unique<SimulatedHost>(
              events_, pattern_,
              heathersteer::HostLocation{name, region.name, domain}, count,
              chooser, random_(),
              [this](const std::string& id) { return servers_.at(id).get(); }));
        }
      }
    }
    InformHosts();
  }

  // Informs each host of all hosts.
  void InformHosts() {
    std::vector<heathersteer::HostLocation> locations;
    for (const auto& host : hosts_) {
      locations.push_back(host->location());
    }
    for (const auto& host : hosts_) {
      host->SetHosts(locations);
    }
  }

  void PublishServers() {
    std::vector<BackendServer> records;
    for (const auto& [id, server] : servers_) {
      if (server->alive()) {
        records.push_back(server->record());
      }
    }
    for (const auto& host : hosts_) {
      host->SetServers(records);
    }
  }

  void PublishLater() {
    events_.After(pattern_.propagation_delay, [this] { PublishServers(); });
  }

  double CurrentRate(const PatternKind& kind, double usual_rate) const {
    double rate = usual_rate;
    for (const PatternEvent& event : pattern_.events) {
      const bool now = events_.now() >= event.at &&
                       events_.now() < event.at + event.duration;
      if (event.kind == EventKind::kBurst && event.subject == kind.name &&
          now) {
        constexpr double kPercent = 100;
        rate *= event.percent / kPercent;
      }
    }
    return rate;
  }

  void ScheduleArrival(const PatternKind& kind,
                       const std::string& region,
                       double rate) {
    const double current_rate = CurrentRate(kind, rate);
    if (current_rate <= 0) {
      return;
    }
    std::exponential_distribution<double> interval(current_rate);
    const Instant at = events_.now() + Seconds(interval(random_));
    if (at >= pattern_.duration) {
      return;
    }
    events_.At(at, [this, &kind, region, rate] {
      std::uniform_int_distribution<int> object(0, kind.objects - 1);
      Attempt(std::make_shared<CallerRequest>(CallerRequest{
          kind, region, std::to_string(object(random_)), events_.now()}));
      ScheduleArrival(kind, region, rate);
    });
  }

  SimulatedHost& RandomHost(const std::string& region) {
    std::vector<SimulatedHost*> local_hosts;
    for (const auto& host : hosts_) {
      if (host->location().region == region) {
        local_hosts.push_back(host.get());
      }
    }
    std::uniform_int_distribution<std::size_t> index(0, local_hosts.size() - 1);
    return *local_hosts[index(random_)];
  }

  void Attempt(const std::shared_ptr<CallerRequest>& request) {
    if (hosts_down_) {
      OnAttemptFinished(request, CallerAttemptOutcome::kRejected,
                        kMinRetryDelay, "");
      return;
    }
    ++request->attempts;
    outcome_.attempts[request->kind.service].push_back(events_.now());
    CallerAttempt attempt;
    attempt.kind = &request->kind;
    attempt.object = request->object;
    attempt.deadline = request->started_at + request->kind.deadline;
    attempt.done = [this, request](CallerAttemptOutcome outcome,
                                   Duration retry_delay,
                                   const std::string& region) {
      OnAttemptFinished(request, outcome, retry_delay, region);
    };
    RandomHost(request->region).Handle(attempt);
  }

  void OnAttemptFinished(const std::shared_ptr<CallerRequest>& request,
                         CallerAttemptOutcome outcome,
                         Duration retry_delay,
                         const std::string& region) {
    const Instant now = events_.now();
    const PatternKind& kind = request->kind;
    if (outcome == CallerAttemptOutcome::kServed) {
      outcome_.served.push_back({request->region, region, now});
      Count(*request, now - request->started_at <= kind.target
                          ? CallerOutcome::kInTarget
                          : CallerOutcome::kLate);
      return;
    }
    const bool may_retry =
        outcome == CallerAttemptOutcome::kRejected || kind.idempotent;
    const Duration delay = std::max(retry_delay, kMinRetryDelay);
    const bool in_time = now + delay < request->started_at + kind.deadline;
    if (may_retry && in_time && request->attempts <= kind.retries) {
      events_.After(delay, [this, request] { Attempt(request); });
      return;
    }
    Count(*request, outcome == CallerAttemptOutcome::kRejected
                        ? CallerOutcome::kRejected
                        : CallerOutcome::kFailed);
  }

  void Count(const CallerRequest& request, CallerOutcome outcome) {
    const auto window =
        static_cast<std::size_t>(request.started_at / pattern_.window);
    outcome_.by_kind[request.kind.name][window].Add(outcome);
  }

  void ApplyEvent(const PatternEvent& event) {
    using Handler = void (Simulation::*)(const PatternEvent&);
    static const std::map<EventKind, Handler> handlers = {
        {EventKind::kBurst, &Simulation::StartBurst},
        {EventKind::kDomainLoss, &Simulation::LoseDomain},
        {EventKind::kHostRestart, &Simulation::RestartHosts},
        {EventKind::kScaleOut, &Simulation::AddEmptyServers},
    };
    (this->*handlers.at(event.kind))(event);
  }

  // Nothing to do: CurrentRate() evaluates the times of bursts.
  void StartBurst(const PatternEvent&) {}

  void LoseDomain(const PatternEvent& event) {
    for (const auto& [id, server] : servers_) {
      if (server->record().domain == event.subject) {
        server->Stop();
      }
    }
    PublishLater();
    events_.After(event.duration, [this, &event] {
      for (const auto& [id, server] : servers_) {
        if (server->record().domain == event.subject) {
          server->Start(true);
        }
      }
      PublishLater();
    });
  }

  void RestartHosts(const PatternEvent& event) {
    hosts_down_ = true;
    for (const auto& host : hosts_) {
      host->Restart();
    }
    events_.After(event.duration, [this] {
      hosts_down_ = false;
      InformHosts();
      PublishServers();
    });
  }

  void AddEmptyServers(const PatternEvent& event) {
    for (const PatternService& service : pattern_.services) {
      if (service.name != event.subject) {
        continue;
      }
      const auto largest = std::max_element(
          service.servers.begin(), service.servers.end(),
          [](const auto& a, const auto& b) { return a.second < b.second; });
      for (int i = 0; i < event.count; ++i) {
        AddServer(service, largest->first, true);
      }
    }
    PublishLater();
  }

  void CollectCounts() {
    for (const auto& host : hosts_) {
      for (const auto& [service, instants] : host->retries()) {
        auto& all = outcome_.retries[service];
        all.insert(all.end(), instants.begin(), instants.end());
      }
    }
    for (const auto& [id, server] : servers_) {
      outcome_.cold_arrivals[id] = server->cold_arrivals();
    }
  }

  const LoadPattern& pattern_;
  std::mt19937_64 random_;
  EventQueue events_;
  std::map<std::string, std::unique_ptr<SimulatedServer>> servers_;
  std::vector<std::unique_ptr<SimulatedHost>> hosts_;
  bool hosts_down_ = false;
  LoadOutcome outcome_;
};

}  // namespace

LoadOutcome Simulate(const LoadPattern& pattern, ChooserKind chooser) {
  return Simulation(pattern, chooser).Run();
}

}  // namespace heather_simulate
