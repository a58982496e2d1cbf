#ifndef HEATHERGATE_GATEWAY_H_
#define HEATHERGATE_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "heathergate/gateway_counters.h"
#include "heathergate/gateway_options.h"
#include "heathergate/http_client.h"
#include "heathergate/latency_histogram.h"
#include "heathergate/timer.h"
#include "heatherlever/instant.h"
#include "heathersteer/crash_suspect_table.h"
#include "heathersteer/detour_hosts.h"
#include "heathersteer/limit_summary.h"
#include "heathersteer/overload_throttle.h"
#include "heathersteer/placement.h"
#include "heathersteer/retry_budget.h"
#include "heathersteer/route_table.h"
#include "heathersteer/server_reachability.h"
#include "heathersteer/server_table.h"
#include "heathersteer/shift_limiter.h"
#include "heathersteer/traffic_split.h"
#include "heathersteer/wait_queue.h"

namespace heathersteer {
struct HostRegistration;
struct TrafficConfig;
class SteeringRules;
}  // namespace heathersteer

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class ConnectionTrial;
class StartupQueue;
class ForwardedRequest;
class HttpExchange;
class PauseMonitor;
struct HttpResponse;

/// Forwards callers' requests to backend servers according to the configuration
/// in force.
class Gateway {
 public:
  Gateway(heathernet::EventLoop& loop, GatewayOptions options);
  ~Gateway();

  void Handle(const std::shared_ptr<HttpExchange>& exchange);

  /// Rejects requests from now on, and ends those that wait for a server;
  /// those that have been sent continue.
  void StopAccepting();

  /// Ends all requests, those that have been sent with an unknown outcome.
  /// Implies StopAccepting().
  void EndRequests();

  /// Applies a configuration if its version is above the present one.
  void ApplyConfig(std::shared_ptr<const heathersteer::TrafficConfig> config);

  /// Applies the operators' rules.
  void SetRules(std::shared_ptr<heathersteer::SteeringRules> rules) {
    rules_ = std::move(rules);
  }

  /// Sets the limits of retries; they apply to all services at once.
  void SetRetryOptions(const heathersteer::RetryBudgetOptions& retries);

  /// Sets the number of entry hosts, which share retry budgets and rates. Until
  /// then this host has no part of them.
  void SetHostCount(int host_count);

  /// Sets all entry hosts, which share the request rates of cold servers; empty
  /// while some of them may not be known yet.
  void SetColdRateHosts(
      const std::vector<heathersteer::HostRegistration>& hosts);

  heathersteer::ServerTable& servers() { return servers_; }
  const heathersteer::ServerTable& servers() const { return servers_; }

  /// Forwards the requests queued during the start if it is over, and tries to
  /// place the queued requests again. To be called when servers or drains have
  /// changed.
  void RetryQueued();

  /// nullptr before the first configuration.
  const heathersteer::TrafficConfig* config() const { return config_.get(); }

  /// Number of forwarded requests that have no response yet.
  std::size_t active() const { return active_.size(); }

  /// This host's observations of backend servers' rate limits and its demand.
  heathersteer::LimitSummary ReportLimits();

  /// Takes over the limits and the demand that several hosts, this one
  /// included, reported.
  void ApplyLimits(const heathersteer::LimitSummary& limits);

  /// Requests that were running when backend servers ended.
  heathersteer::CrashSuspectTable& crash_suspects() { return crash_suspects_; }

  /// Sets a function that is called when this host observes that a request
  /// crashes servers, or that a suspected one does not.
  void OnCrashSuspect(std::function<void()> function) {
    on_crash_suspect_ = std::move(function);
  }

  /// Whether this host reaches no backend server, although there are some.
  bool cut_off() const { return reachability_.cut_off(); }

  /// Sets a function that is called when cut_off() has changed.
  void OnCutOffChanged(std::function<void()> function) {
    on_cut_off_changed_ = std::move(function);
  }

  /// The hosts to which requests are passed on while this one is cut off.
  heathersteer::DetourHosts& detour_hosts() { return detour_hosts_; }

  /// Number of requests that are not sent, as they crash servers.
  std::size_t quarantined() const;

  /// Number of backend servers whose rate limit is in force.
  std::size_t limited_servers() const;

  /// Number of backend servers that want no requests from this host for now.
  std::size_t backed_off_servers() const;

  /// Number of requests that were sent to cold servers.
  std::uint64_t cold_sends() const { return placement_.cold_sends(); }

  /// Number of hosts that share the rates of cold servers; 0 if not known.
  std::size_t cold_rate_hosts() const { return cold_rate_hosts_; }

  const PauseMonitor& pauses() const { return *pauses_; }

  const GatewayCounters& counters() const { return counters_; }

  /// Times from the arrival of a request to its delivered response, by rank.
  const std::map<int, LatencyHistogram>& latencies() const {
    return latencies_;
  }

 private:
  friend class ForwardedRequest;

  void Forward(const std::shared_ptr<HttpExchange>& exchange);
  void ForwardStartupQueue();
  void OnStartupWaitExpired(const std::shared_ptr<HttpExchange>& exchange);
  bool MayTakeDetoured(const HttpExchange& exchange) const;
  // Tells a host that passed a request on that another one may handle it.
  HttpResponse DetourRejection();
  void RejectDetoured(const std::shared_ptr<HttpExchange>& exchange);
  void OnServerUnreachable(const std::string& server_id);
  void TryServers();
  void OnTrialDone(const std::vector<std::string>& server_ids,
                   bool any_connected);
  void ScheduleTrial();
  void Reject(const std::shared_ptr<HttpExchange>& exchange,
              HttpResponse response,
              const char* reason);
  // `available_in` is the time until servers may be sent requests again, 0 if
  // it isn't known.
  HttpResponse Rejection(heatherlever::Duration time_left,
                         heatherlever::Duration available_in = {});
  HttpResponse RejectionFor(heatherlever::Duration retry_after);
  heathersteer::OverloadThrottle& Throttle(const std::string& route);
  heathersteer::RetryBudget& Budget(const std::string& service);
  std::vector<std::shared_ptr<ForwardedRequest>> ActiveRequests() const;
  void Retain(const std::shared_ptr<ForwardedRequest>& request);
  void Release(ForwardedRequest* request);
  std::uint64_t Enqueue(ForwardedRequest* request,
                        const std::string& service,
                        int rank);
  void Dequeue(std::uint64_t ticket);
  void PlaceQueued(const std::string& service);
  // Places all queued requests after a hold.
  void PlaceHeld();
  void PlaceHeld(std::uint64_t ticket);
  void StartTick();
  double Random();

  heathernet::EventLoop& loop_;
  GatewayOptions options_;
  std::shared_ptr<PauseMonitor> pauses_;
  HttpClient client_;
  heathersteer::Placement placement_;
  heathersteer::ServerTable servers_;
  heathersteer::TrafficSplit traffic_split_;
  heathersteer::ShiftLimiter shift_limiter_;
  heathersteer::WaitQueue queue_;
  heathersteer::CrashSuspectTable crash_suspects_;
  std::function<void()> on_crash_suspect_ = [] {};
  heathersteer::ServerReachability reachability_;
  std::unique_ptr<ConnectionTrial> trial_;
  Timer trial_timer_;
  std::function<void()> on_cut_off_changed_ = [] {};
  heathersteer::DetourHosts detour_hosts_;
  int detoured_active_ = 0;
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
  // Whether a configuration and a backend server have become known.
  bool started_ = false;
  bool accepting_ = true;
  Timer tick_;
  bool ticking_ = false;
  // 0 while it isn't known.
  int host_count_ = 0;
  std::size_t cold_rate_hosts_ = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_GATEWAY_H_
