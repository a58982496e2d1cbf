#ifndef HEATHERSTEER_DETOUR_HOSTS_H_
#define HEATHERSTEER_DETOUR_HOSTS_H_

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/host_registration.h"

namespace heathersteer {

/// The other entry hosts, to which this one passes requests on while it is cut
/// off from all backend servers. Whether they reach the servers is learned from
/// their responses.
class DetourHosts {
 public:
  /// Sets the registered hosts; `self` is left out.
  void SetHosts(const HostRegistration& self,
                const std::vector<HostRegistration>& hosts);

  /// Returns the host for the next attempt, close ones first. `regions` are
  /// those in which the request may be handled, empty for all; `tried` are the
  /// names of hosts that are left out. nullptr if there is none.
  const HostRegistration* Choose(const std::vector<std::string>& regions,
                                 const std::vector<std::string>& tried,
                                 heatherlever::Instant now);

  /// Records that a host has handled a request.
  void RecordHandled(const std::string& name, heatherlever::Instant now);

  /// Records that a host can't handle requests at the moment.
  void RecordUnavailable(const std::string& name, heatherlever::Instant now);

  /// Caller endpoints of the hosts that lately handled a request.
  std::vector<std::string> CallerEndpoints(heatherlever::Instant now) const;

 private:
  // By distance: hosts of the same domain, of the same region, all others.
  static constexpr std::size_t kGroupCount = 3;

  struct Entry {
    HostRegistration host;
    heatherlever::Instant handled_at{0};
    heatherlever::Instant unavailable_until{0};
  };

  struct Group {
    std::vector<Entry> entries;
    std::size_t next = 0;
    heatherlever::Instant avoided_until{0};
  };

  const HostRegistration* ChooseFrom(Group& group,
                                     const std::vector<std::string>& regions,
                                     const std::vector<std::string>& tried,
                                     heatherlever::Instant now);

  std::array<Group, kGroupCount> groups_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_DETOUR_HOSTS_H_
