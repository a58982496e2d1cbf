#ifndef HEATHERSTEER_LIVE_HOSTS_H_
#define HEATHERSTEER_LIVE_HOSTS_H_

#include <map>
#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Entry hosts of a domain that were heard of lately and take requests.
class LiveHosts {
 public:
  /// The host with this front was heard; `ready` tells whether it takes
  /// requests. Returns whether the list has changed.
  bool RecordReport(const std::string& front,
                    bool ready,
                    heatherlever::Instant now);

  /// Takes a host off; returns whether it was on the list.
  bool Remove(const std::string& front);

  /// Takes off those that were not heard of lately. Returns whether the list
  /// has changed.
  bool Expire(heatherlever::Instant now);

  /// Addresses of the fronts.
  std::vector<std::string> CallerEndpoints() const;

 private:
  // When each front was heard last.
  std::map<std::string, heatherlever::Instant> last_report_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_LIVE_HOSTS_H_
