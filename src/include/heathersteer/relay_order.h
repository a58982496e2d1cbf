#ifndef HEATHERSTEER_RELAY_ORDER_H_
#define HEATHERSTEER_RELAY_ORDER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/host_registration.h"

namespace heathersteer {

/// Decides from which host of its domain an entry host takes updates of the
/// platform's state. Hosts follow the one that registered first; a host that no
/// other precedes reads the platform's store itself. So few hosts read the
/// store, however many there are.
class RelayOrder {
 public:
  explicit RelayOrder(HostRegistration self) : self_(std::move(self)) {}

  /// Sets the known registrations; those of other domains are ignored.
  void SetHosts(const std::vector<HostRegistration>& hosts);

  /// Takes over the registration version that a host reported, if it is newer
  /// than the known one.
  void UpdateRegistration(const std::string& name, const StoreVersion& version);

  /// Excludes a host that did not respond, or is leaving, for some seconds.
  void MarkFailed(const std::string& name, heatherlever::Instant now);

  /// The host to follow; nothing if this host reads the store itself.
  std::optional<HostRegistration> Choose(heatherlever::Instant now) const;

  /// Whether a host with this registration version may follow this host.
  bool MayFollow(const StoreVersion& version) const {
    return version > self_.registration_version;
  }

  const HostRegistration& self() const { return self_; }
  void set_relay_port(std::uint16_t port) { self_.relay_port = port; }
  void set_registration_version(const StoreVersion& version) {
    self_.registration_version = version;
  }

 private:
  HostRegistration self_;
  std::map<std::string, HostRegistration> hosts_;
  std::map<std::string, heatherlever::Instant> excluded_until_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_RELAY_ORDER_H_
