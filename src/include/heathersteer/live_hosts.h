#ifndef HEATHERSTEER_LIVE_HOSTS_H_
#define HEATHERSTEER_LIVE_HOSTS_H_

#include <map>
#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Entry hosts of a domain that reported lately and accept requests.
class LiveHosts {
 public:
  /// Records a report of the host with this caller endpoint; removes the host
  /// unless it is `ready` for requests. Returns whether the list has changed.
  bool RecordReport(const std::string& caller_endpoint,
                    bool ready,
                    heatherlever::Instant now);

  /// Removes a host; returns whether it was on the list.
  bool Remove(const std::string& caller_endpoint);

  /// Removes hosts whose last report is too old. Returns whether the list has
  /// changed.
  bool Expire(heatherlever::Instant now);

  /// Caller endpoints of the listed hosts.
  std::vector<std::string> CallerEndpoints() const;

 private:
  // Time of the last report, by caller endpoint.
  std::map<std::string, heatherlever::Instant> last_report_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_LIVE_HOSTS_H_
