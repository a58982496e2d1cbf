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

/// The part of the platform's store that an entry host uses. Each call
/// completes within some seconds, with an error if the store is unavailable.
class FleetSource {
 public:
  template <typename Value>
  using Done = std::function<void(absl::StatusOr<Value>)>;

  virtual ~FleetSource() = default;

  /// The first call reads the operator's state; later ones return as soon as it
  /// has changed, or unchanged after some seconds.
  virtual void WatchOperatorState(Done<heathersteer::OperatorState> done) = 0;

  /// Resends a pending WatchOperatorState call on another connection. To be
  /// called when the store recovers, since the call may have been lost.
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
