#ifndef HEATHERSTEER_SERVER_TABLE_H_
#define HEATHERSTEER_SERVER_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/leaving_servers.h"
#include "heathersteer/server_backoffs.h"
#include "heathersteer/server_state.h"

namespace heathersteer {

/// The listed backend servers with their load and health as known to this host.
/// Removed servers get no new requests.
class ServerTable {
 public:
  using Servers = std::vector<std::shared_ptr<ServerState>>;

  /// Adds a server or updates its description. A new incarnation or another
  /// address under a known id starts with empty load and health.
  void Put(const BackendServer& server);

  void Remove(const std::string& id);

  /// Records that an incarnation of a server states that it is leaving, whether
  /// it is listed or not. Returns whether that was unknown.
  bool RecordLeaving(const std::string& id,
                     std::int64_t started_ms,
                     heatherlever::Instant now);

  /// Number of listed servers that have stated that they are leaving.
  std::size_t leaving_count() const;

  /// Records that an incarnation of a server wants no requests from this host
  /// for `delay`, whether it is listed or not. Returns whether it is listed and
  /// its backoff begins.
  bool RecordBackoff(const std::string& id,
                     std::int64_t started_ms,
                     std::chrono::duration<double> delay,
                     heatherlever::Instant now);

  /// Number of listed servers that want no requests from this host.
  std::size_t backed_off_count(heatherlever::Instant now) const;

  /// Removes every server whose id is not in `ids`; returns the removed ones.
  std::vector<std::string> KeepOnly(const std::set<std::string>& ids);

  /// Sets the failure domains whose servers get no requests.
  void SetEvacuated(std::set<std::string> domains);

  bool evacuated(const std::string& domain) const;

  /// All servers of a service, including draining ones.
  const Servers& OfService(const std::string& service) const;

  std::shared_ptr<ServerState> Find(const std::string& id) const;

  const std::map<std::string, std::shared_ptr<ServerState>>& by_id() const {
    return by_id_;
  }

  std::size_t size() const { return by_id_.size(); }

 private:
  void Unlink(const std::shared_ptr<ServerState>& state);

  std::map<std::string, std::shared_ptr<ServerState>> by_id_;
  std::map<std::string, Servers> by_service_;
  std::set<std::string> evacuated_;
  LeavingServers leaving_;
  ServerBackoffs backoffs_;
  Servers no_servers_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_TABLE_H_
