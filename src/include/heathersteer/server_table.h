#ifndef HEATHERSTEER_SERVER_TABLE_H_
#define HEATHERSTEER_SERVER_TABLE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/server_state.h"

namespace heathersteer {

/// The backend servers that may be used, with what this host knows of their
/// load. Servers that the list no longer names get no new requests.
class ServerTable {
 public:
  using Servers = std::vector<std::shared_ptr<ServerState>>;

  /// Adds a server or replaces what is known of it. A new life or another
  /// address under a known id starts with empty counts.
  void Put(const BackendServer& server);

  void Remove(const std::string& id);

  /// Removes every server whose id is not in `ids`; returns the removed ones.
  std::vector<std::string> KeepOnly(const std::set<std::string>& ids);

  /// Failure domains whose servers get no requests.
  void SetEvacuated(std::set<std::string> domains);

  bool evacuated(const std::string& domain) const;

  /// Every server of a service, draining ones included.
  const Servers& OfService(const std::string& service) const;

  std::shared_ptr<ServerState> Find(const std::string& id) const;

  std::size_t size() const { return by_id_.size(); }

 private:
  void Unlink(const std::shared_ptr<ServerState>& state);

  std::map<std::string, std::shared_ptr<ServerState>> by_id_;
  std::map<std::string, Servers> by_service_;
  std::set<std::string> evacuated_;
  Servers no_servers_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_TABLE_H_
