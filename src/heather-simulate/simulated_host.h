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

/// What a caller gets for one attempt.
enum class CallerAttemptOutcome { kServed, kRejected, kFailed };

/// One attempt of a caller at a host.
struct CallerAttempt {
  const PatternKind* kind = nullptr;
  std::string object;
  heatherlever::Instant deadline{0};
  /// `pause` is the time until the caller may come back; of rejections only.
  std::function<void(AttemptEnd end,
                     heatherlever::Duration pause,
                     const std::string& region)>
      done;
};

/// Finds the server of a record.
using ServerLookup = std::function<SimulatedServer*(const std::string& id)>;

/// Where a host stands.
struct HostLocation {
  std::string name;
  std::string region;
  std::string domain;
};

/// An entry host in virtual time: the product's decisions on placing, waiting,
/// repeating and rejecting, between simulated callers and servers.
class SimulatedHost {
 public:
  SimulatedHost(EventQueue& events,
                const LoadPattern& pattern,
                HostLocation place,
                int hosts,
                ChooserKind chooser,
                std::uint64_t seed,
                ServerLookup lookup);

  void Handle(const CallerAttempt& attempt);

  /// The list of servers changed.
  void SetServers(const std::vector<heathersteer::BackendServer>& servers);

  /// The process ends and starts anew: what it held is lost.
  void Restart();

  const HostLocation& location() const { return location_; }

  /// Sends beyond the first of each attempt, by service.
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
  void OnResponse(const RequestPtr& request, const ServerResponse& answer);
  void UpdateServerHealth(const Request& request, const ServerResponse& answer);
  void CountOutcome(const Request& request, AttemptEnd end);
  void Reject(const RequestPtr& request);
  void Finish(const RequestPtr& request,
              AttemptEnd end,
              heatherlever::Duration pause);
  void ReleaseServer(const RequestPtr& request);
  void PlaceQueued(const std::string& service);
  heatherlever::Duration DelayTo(
      const heathersteer::BackendServer& server) const;

  EventQueue& events_;
  const LoadPattern& pattern_;
  HostLocation location_;
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
