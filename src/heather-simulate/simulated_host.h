#ifndef HEATHER_SIMULATE_SIMULATED_HOST_H_
#define HEATHER_SIMULATE_SIMULATED_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "heather-simulate/server_chooser.h"
#include "heather-simulate/simulated_server.h"
#include "heathersteer/attempt_policy.h"
#include "heathersteer/host_location.h"
#include "heathersteer/overload_throttle.h"
#include "heathersteer/placement.h"
#include "heathersteer/retry_budget.h"
#include "heathersteer/route.h"
#include "heathersteer/server_table.h"
#include "heathersteer/service.h"
#include "heathersteer/shift_limiter.h"
#include "heathersteer/wait_queue.h"

namespace heather_simulate {

class EventQueue;

/// Outcome of one attempt of a caller.
enum class CallerAttemptOutcome { kServed, kRejected, kFailed };

/// One attempt of a caller at a host.
struct CallerAttempt {
  const PatternKind* kind = nullptr;
  std::string object;
  heatherlever::Instant deadline{0};
  /// Called at the end of the attempt. `retry_delay` is the time until the
  /// caller may retry, for rejections only; `region` is where the request ran.
  std::function<void(CallerAttemptOutcome outcome,
                     heatherlever::Duration retry_delay,
                     const std::string& region)>
      done;
};

/// Finds a server by its id.
using ServerLookup = std::function<SimulatedServer*(const std::string& id)>;

/// An entry host in virtual time. It connects simulated callers and servers and
/// uses the production code for placement, queueing, retries and rejections.
class SimulatedHost {
 public:
  SimulatedHost(EventQueue& events,
                const LoadPattern& pattern,
                heathersteer::HostLocation location,
                int host_count,
                ChooserKind chooser,
                std::uint64_t seed,
                ServerLookup lookup);

  void Handle(const CallerAttempt& attempt);

  /// Replaces the list of known servers.
  void SetServers(const std::vector<heathersteer::BackendServer>& servers);

  /// Simulates a restart of the process: fails the active requests and drops
  /// all state.
  void Restart();

  /// Sets all hosts, which share the rates of cold servers.
  void SetHosts(std::vector<heathersteer::HostLocation> hosts);

  const heathersteer::HostLocation& location() const { return location_; }

  /// Times of the sends beyond the first of each attempt, by service.
  const std::map<std::string, std::vector<heatherlever::Instant>>& retries()
      const {
    return retries_;
  }

 private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void Place(const RequestPtr& request);
  bool TryPlace(const RequestPtr& request);
  void Send(const RequestPtr& request,
            const std::shared_ptr<heathersteer::ServerState>& server);
  void OnResponse(const RequestPtr& request, const ServerResponse& response);
  void UpdateServerHealth(const Request& request,
                          const ServerResponse& response);
  void CountOutcome(const Request& request, CallerAttemptOutcome outcome);
  void Reject(const RequestPtr& request);
  void Finish(const RequestPtr& request,
              CallerAttemptOutcome outcome,
              heatherlever::Duration retry_delay);
  void ReleaseServer(const RequestPtr& request);
  void PlaceQueued(const std::string& service);
  heatherlever::Duration DelayTo(
      const heathersteer::BackendServer& server) const;

  EventQueue& events_;
  const LoadPattern& pattern_;
  heathersteer::HostLocation location_;
  std::mt19937_64 random_;
  ServerLookup lookup_;
  heathersteer::Placement placement_;
  std::unique_ptr<ServerChooser> chooser_;
  int host_count_;
  heathersteer::ServerTable servers_;
  heathersteer::ShiftLimiter shift_limiter_;
  heathersteer::WaitQueue queue_;
  std::map<std::string, heathersteer::Service> services_;
  std::map<std::string, heathersteer::Route> routes_;
  std::map<std::string, heathersteer::RetryBudget> budgets_;
  // By route.
  std::map<std::string, heathersteer::OverloadThrottle> throttles_;
  std::map<std::uint64_t, RequestPtr> waiting_;
  std::map<Request*, RequestPtr> active_;
  std::map<std::string, std::vector<heatherlever::Instant>> retries_;
};

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_SIMULATED_HOST_H_
