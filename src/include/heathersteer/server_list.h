#ifndef HEATHERSTEER_SERVER_LIST_H_
#define HEATHERSTEER_SERVER_LIST_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/server_delta.h"

namespace heathersteer {

/// The platform's list of backend servers. Servers that the store lost in an
/// outage stay listed until they had time to register again; until then the
/// list counts as known as of before the outage.
class ServerList {
 public:
  /// Takes over a full list that this host read from the store. Returns whether
  /// a server was added, removed or changed; small differences in the end of
  /// its cold start don't count.
  bool Update(const std::vector<BackendServer>& servers,
              heatherlever::Instant now);

  /// Takes over the full list of another host, known as of `known_at`, unless
  /// it is older than this one. Returns whether it was taken over.
  bool Mirror(const std::vector<BackendServer>& servers,
              heatherlever::Instant known_at);

  /// Applies the changes of another host's list since it was last sent, unless
  /// that list is older than this one. Returns whether they were applied.
  bool Apply(const ServerDelta& delta, heatherlever::Instant known_at);

  /// Records that another host confirmed its list as of `known_at`.
  void Confirm(heatherlever::Instant known_at);

  std::vector<BackendServer> servers() const;

  /// Time until missing servers are removed after an outage; 0 at other times.
  heatherlever::Duration reregistration_time_left(
      heatherlever::Instant now) const;

  /// Time as of which the list is known to be complete; 0 before the first one.
  heatherlever::Instant known_at() const { return known_at_; }

 private:
  bool Merge(const std::vector<BackendServer>& servers);
  bool DropMissing(const std::vector<BackendServer>& servers);

  std::map<std::string, BackendServer> by_id_;
  heatherlever::Instant known_at_{0};
  // Time of the first read after an outage.
  std::optional<heatherlever::Instant> recovered_at_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_LIST_H_
