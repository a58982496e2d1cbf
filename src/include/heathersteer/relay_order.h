#ifndef HEATHERSTEER_RELAY_ORDER_H_
#define HEATHERSTEER_RELAY_ORDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/host_registration.h"

namespace heathersteer {

/// Decides from which host of its domain an entry host takes the platform's
/// news. Hosts follow the one that registered first; a host that nobody
/// precedes reads the platform's store itself. Few hosts read that way, at any
/// size.
class RelayOrder {
 public:
  explicit RelayOrder(HostRegistration self) : self_(std::move(self)) {}

  /// The hosts' registrations; those of other domains are left out.
  void SetHosts(const std::vector<HostRegistration>& hosts);

  /// A host told its registration, which may be newer than the known one.
  void UpdateRegistration(const std::string& name, std::uint64_t joined);

  /// A host did not answer, or is leaving: passed over for some seconds.
  void MarkFailed(const std::string& name, heatherlever::Instant now);

  /// The host to follow; nothing if this host reads the store itself.
  std::optional<HostRegistration> Choose(heatherlever::Instant now) const;

  /// Whether a host that registered as `joined` may follow this one.
  bool MayFollow(std::uint64_t joined) const {
    return joined > self_.registration_version;
  }

  const HostRegistration& self() const { return self_; }
  void set_registration_version(std::uint64_t joined) {
    self_.registration_version = joined;
  }

 private:
  HostRegistration self_;
  std::map<std::string, HostRegistration> hosts_;
  std::map<std::string, heatherlever::Instant> excluded_until_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_RELAY_ORDER_H_
