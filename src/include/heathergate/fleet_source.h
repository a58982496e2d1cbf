#ifndef HEATHERGATE_FLEET_SOURCE_H_
#define HEATHERGATE_FLEET_SOURCE_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <vector>

#include "heathersteer/backend_server.h"
#include "heathersteer/host_registration.h"
#include "heathersteer/operator_state.h"

namespace heathergate {

/// The platform's store, as far as an entry host needs it. Each call ends
/// within some seconds, with an error if the store is away.
class FleetSource {
 public:
  template <typename Value>
  using Done = std::function<void(absl::StatusOr<Value>)>;

  virtual ~FleetSource() = default;

  /// The first call reads the operator's state; later ones return as soon as it
  /// has changed, or unchanged after some seconds.
  virtual void WatchOperatorState(Done<heathersteer::OperatorState> done) = 0;

  /// Sends a call of FollowOperator that is under way once more, on another
  /// connection: the store was away, and the call may have been lost.
  virtual void RestartWatch() = 0;

  virtual void ReadServers(
      Done<std::vector<heathersteer::BackendServer>> done) = 0;

  virtual void ReadHosts(
      Done<std::vector<heathersteer::HostRegistration>> done) = 0;

  /// Writes this host's registration; returns its version.
  virtual void Register(const heathersteer::HostRegistration& self,
                        Done<std::uint64_t> done) = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_FLEET_SOURCE_H_
