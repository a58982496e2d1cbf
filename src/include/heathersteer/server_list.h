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

/// The platform's list of backend servers. After an outage of the store,
/// servers that it lost meanwhile stay listed until they had time to register
/// again; until then the list counts as known as of before the outage.
class ServerList {
 public:
  /// Takes in a whole list that this host read from the store. Returns whether
  /// a server came, went or changed, but for the passing of its cold time.
  bool Update(const std::vector<BackendServer>& servers,
              heatherlever::Instant now);

  /// Takes over another host's list, known as of `known_at`, if it is newer.
  /// Returns whether it was taken.
  bool Mirror(const std::vector<BackendServer>& servers,
              heatherlever::Instant known_at);

  /// Takes over what another host's list gained over the one that it sent
  /// before, if it is as new as the own one. Returns whether it was taken.
  bool Apply(const ServerDelta& delta, heatherlever::Instant known_at);

  /// Another host states that the list it sent is known as of `known_at`.
  void Confirm(heatherlever::Instant known_at);

  std::vector<BackendServer> servers() const;

  /// Time until missing servers may be dropped after an outage; 0 at other
  /// times.
  heatherlever::Duration reregistration_time_left(
      heatherlever::Instant now) const;

  /// As of when the list is known to be whole; 0 before the first one.
  heatherlever::Instant known_at() const { return known_at_; }

 private:
  bool Merge(const std::vector<BackendServer>& servers);
  bool DropMissing(const std::vector<BackendServer>& servers);

  std::map<std::string, BackendServer> by_id_;
  heatherlever::Instant known_at_{0};
  // First read after an outage.
  std::optional<heatherlever::Instant> recovered_at_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_LIST_H_
