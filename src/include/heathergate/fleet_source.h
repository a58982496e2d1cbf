#ifndef HEATHERGATE_FLEET_SOURCE_H_
#define HEATHERGATE_FLEET_SOURCE_H_

#include <absl/status/statusor.h>

#include <functional>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/host_registration.h"
#include "heathersteer/listing.h"
#include "heathersteer/operator_state.h"
#include "heathersteer/store_version.h"

namespace heathergate {

/// The part of the platform's store that an entry host uses. Each call
/// completes within some seconds, with an error if the store is unavailable.
class FleetSource {
 public:
  template <typename Value>
  using Done = std::function<void(absl::StatusOr<Value>)>;

  virtual ~FleetSource() = default;

  /// The first call reads the operator's state; later ones return as soon as it
  /// has changed, or unchanged after `wait`.
  virtual void WatchOperatorState(heatherlever::Duration wait,
                                  Done<heathersteer::OperatorState> done) = 0;

  /// Resends a pending WatchOperatorState call on another connection. To be
  /// called when the store recovers, since the call may have been lost.
  virtual void RestartWatch() = 0;

  /// Takes over a state that another host has read, if it is newer. The next
  /// WatchOperatorState call waits for changes after it.
  virtual void SkipTo(const heathersteer::OperatorState& state) = 0;

  virtual void ReadServers(
      Done<heathersteer::Listing<heathersteer::BackendServer>> done) = 0;

  virtual void ReadHosts(
      Done<heathersteer::Listing<heathersteer::HostRegistration>> done) = 0;

  /// Writes this host's registration; returns its version.
  virtual void Register(const heathersteer::HostRegistration& self,
                        Done<heathersteer::StoreVersion> done) = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_FLEET_SOURCE_H_
