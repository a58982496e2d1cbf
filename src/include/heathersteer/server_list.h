#ifndef HEATHERSTEER_SERVER_LIST_H_
#define HEATHERSTEER_SERVER_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"

namespace heathersteer {

/// The platform's list of backend servers as last read. After an outage of the
/// store, servers that it lost meanwhile stay listed until they had time to
/// register again.
class ServerList {
 public:
  /// Takes in a whole list. Returns whether a server came, went or changed, but
  /// for the passing of its cold time.
  bool Update(const std::vector<BackendServer>& servers,
              heatherlever::Instant now);

  std::vector<BackendServer> servers() const;

  /// When the list was read from the store, by this host or another one.
  heatherlever::Instant read_at() const { return read_at_; }

 private:
  std::map<std::string, BackendServer> by_id_;
  heatherlever::Instant read_at_{0};
  heatherlever::Instant keep_missing_until_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_LIST_H_
