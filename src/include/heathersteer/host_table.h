#ifndef HEATHERSTEER_HOST_TABLE_H_
#define HEATHERSTEER_HOST_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/host_registration.h"
#include "heathersteer/listing.h"

namespace heathersteer {

/// The registered entry hosts. Hosts whose registrations the store lost by a
/// restore from an older copy stay listed until they had time to register
/// again.
class HostTable {
 public:
  /// Takes over the registrations that were read from the store.
  void Update(const Listing<HostRegistration>& read, heatherlever::Instant now);

  std::vector<HostRegistration> hosts() const;

  /// Whether the store has lost a registration that it had acknowledged at
  /// `version`.
  bool IsLost(const std::string& name, const StoreVersion& version) const;

  /// Timeline of the store at the last read; 0 before it.
  std::uint64_t timeline() const { return timeline_; }

 private:
  // Kept and lost registrations, by name of the host.
  std::map<std::string, HostRegistration> kept_;
  std::map<std::string, HostRegistration> lost_;
  std::uint64_t timeline_ = 0;
  heatherlever::Instant lost_until_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_HOST_TABLE_H_
