#ifndef HEATHERGATE_GATEWAY_H_
#define HEATHERGATE_GATEWAY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "heathergate/gateway_counters.h"
#include "heathergate/gateway_options.h"
#include "heathergate/http_client.h"
#include "heathergate/latency_histogram.h"
#include "heathergate/timer.h"
#include "heatherlever/instant.h"
#include "heathersteer/overload_throttle.h"
#include "heathersteer/placement.h"
#include "heathersteer/retry_budget.h"
#include "heathersteer/route_table.h"
#include "heathersteer/server_table.h"
#include "heathersteer/shift_limiter.h"
#include "heathersteer/traffic_split.h"
#include "heathersteer/wait_queue.h"

namespace heathersteer {
struct TrafficConfig;
class SteeringRules;
}  // namespace heathersteer

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class StartupQueue;
class ForwardedRequest;
class HttpExchange;
struct HttpResponse;

/// Forwards clients' requests to backend servers by the configuration in force.
class Gateway {
 public:
  Gateway(heathernet::EventLoop& loop, GatewayOptions options);
  ~Gateway();

  void Handle(const std::shared_ptr<HttpExchange>& exchange);

  /// Takes a configuration into force if its version is above the present one.
  void ApplyConfig(std::shared_ptr<const heathersteer::TrafficConfig> config);

  /// Takes the operators' rules into force.
  void SetRules(std::shared_ptr<heathersteer::SteeringRules> rules) {
    rules_ = std::move(rules);
  }

  /// New bounds of repeats, in force for all services at once.
  void SetRetryOptions(const heathersteer::RetryBudgetOptions& retries);

  /// Number of entry hosts, which share budgets and rates.
  void SetHostCount(int hosts);

  heathersteer::ServerTable& servers() { return servers_; }
  const heathersteer::ServerTable& servers() const { return servers_; }

  /// Takes up requests that wait for this host's start, and places waiting
  /// requests anew; after servers or drains changed.
  void RetryQueued();

  /// nullptr before the first configuration.
  const heathersteer::TrafficConfig* config() const { return config_.get(); }

  /// Requests that have no answer yet.
  std::size_t active() const { return active_.size(); }

  const GatewayCounters& counters() const { return counters_; }

  /// Times from a request to its delivered answer, by rank.
  const std::map<int, LatencyHistogram>& latencies() const {
    return latencies_;
  }

 private:
  friend class ForwardedRequest;

  void Forward(const std::shared_ptr<HttpExchange>& exchange);
  void ForwardStartupQueue();
  void OnStartupWaitExpired(const std::shared_ptr<HttpExchange>& exchange);
  HttpResponse Rejection(heatherlever::Duration time_left);
  heathersteer::OverloadThrottle& Throttle(const std::string& route);
  heathersteer::RetryBudget& Budget(const std::string& service);
  void Retain(const std::shared_ptr<ForwardedRequest>& request);
  void Release(ForwardedRequest* request);
  std::uint64_t Enqueue(ForwardedRequest* request,
                        const std::string& service,
                        int rank);
  void Dequeue(std::uint64_t ticket);
  void PlaceQueued(const std::string& service);
  void StartTick();
  double Random();

  heathernet::EventLoop& loop_;
  GatewayOptions options_;
  HttpClient client_;
  heathersteer::Placement placement_;
  heathersteer::ServerTable servers_;
  heathersteer::TrafficSplit traffic_split_;
  heathersteer::ShiftLimiter shift_limiter_;
  heathersteer::WaitQueue queue_;
  std::shared_ptr<const heathersteer::TrafficConfig> config_;
  std::shared_ptr<const heathersteer::RouteTable> routes_;
  std::shared_ptr<heathersteer::SteeringRules> rules_;
  std::map<std::string, heathersteer::RetryBudget> budgets_;
  std::map<std::string, heathersteer::OverloadThrottle> throttles_;
  std::map<ForwardedRequest*, std::shared_ptr<ForwardedRequest>> active_;
  std::map<std::uint64_t, ForwardedRequest*> queued_;
  GatewayCounters counters_;
  std::map<int, LatencyHistogram> latencies_;
  std::mt19937_64 random_;
  std::unique_ptr<StartupQueue> startup_queue_;
  // Whether a configuration and a backend server have been known.
  bool started_ = false;
  Timer tick_;
  bool ticking_ = false;
  int host_count_ = 1;
};

}  // namespace heathergate

#endif  // HEATHERGATE_GATEWAY_H_
