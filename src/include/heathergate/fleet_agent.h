#ifndef HEATHERGATE_FLEET_AGENT_H_
#define HEATHERGATE_FLEET_AGENT_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "heathergate/fleet_options.h"
#include "heathergate/fleet_source.h"
#include "heathergate/http_client.h"
#include "heathergate/http_server.h"
#include "heathergate/timer.h"
#include "heathersteer/live_hosts.h"
#include "heathersteer/propagation_timing.h"
#include "heathersteer/relay_order.h"
#include "heathersteer/server_change_log.h"
#include "heathersteer/server_list.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class PeerQuery;
class StoreReader;
struct RelayResponse;
struct RelayRequest;
struct StoreReaderCallbacks;

/// Who is told of news.
struct FleetListener {
  std::function<void(const heathersteer::OperatorState&)> on_operator_state;
  std::function<void(const std::vector<heathersteer::BackendServer>&)>
      on_servers;
  /// Number of registered entry hosts.
  std::function<void(int)> on_host_count;
};

/// Keeps an entry host informed of the operator's state, the backend servers
/// and the other hosts of its domain. In each domain one host reads the store;
/// the others ask it over the network between hosts. A host whose news are old,
/// as it can't reach the one that it asks or that one can't read, reads the
/// store itself and asks other hosts in turn.
class FleetAgent {
 public:
  FleetAgent(heathernet::EventLoop& loop,
             FleetSource& source,
             const heathersteer::HostRegistration& self,
             const FleetOptions& options,
             FleetListener listener);
  ~FleetAgent();

  /// Hosts to ask, besides the registered ones, while this one can't get news
  /// otherwise.
  void SetSeeds(std::vector<HttpPeer> seeds);

  void Start();

  /// Answers a question that came by another address than the own relay's.
  void HandleRequest(const std::shared_ptr<HttpExchange>& exchange);

  /// Tells the others that this host takes no more requests.
  void StartLeaving();

  /// Whether this host takes requests, for the others' directories.
  void set_ready(bool ready);

  /// Fronts of this domain's hosts that take requests; this host's own first if
  /// it is one of them.
  std::vector<std::string> CallerEndpoints() const;

 private:
  struct PendingRequest;

  void Register();
  void ReadHosts();
  void Follow();
  void SendRelayRequest(const heathersteer::HostRegistration& host);
  void OnRelayResponse(const heathersteer::HostRegistration& host,
                       const CallResult& result);
  void OnFollowFailed(const heathersteer::HostRegistration& host,
                      const std::string& problem);
  void ApplyResponse(const RelayResponse& answer);
  void ApplyServers(const RelayResponse& answer,
                    heatherlever::Instant known_at);
  bool ShouldReadStore() const;
  StoreReaderCallbacks MakeReaderCallbacks();
  void OnServersChanged();
  void OnOperatorState(const heathersteer::OperatorState& state);
  void CancelRelayRequest();
  bool IsStale() const;
  std::string MakeQuery() const;
  void OnQuery(const std::shared_ptr<HttpExchange>& exchange);
  void OnPeerResponse(const RelayResponse& answer);
  void SetPeers(const std::vector<heathersteer::HostRegistration>& hosts);
  bool HasUpdate(const RelayRequest& question) const;
  void RespondWithUpdates();
  void RespondToAllPending();
  void SendResponse(PendingRequest& held);
  void Tick();

  FleetSource& source_;
  FleetListener listener_;
  const heathersteer::PropagationTiming timing_;
  std::unique_ptr<StoreReader> reader_;
  heathersteer::RelayOrder relay_order_;
  heathersteer::LiveHosts live_hosts_;
  heathersteer::ServerList servers_;
  heathersteer::OperatorState operator_state_;
  HttpClient client_;
  std::unique_ptr<PeerQuery> peer_query_;
  HttpServer server_;
  Timer register_timer_;
  Timer hosts_timer_;
  Timer follow_timer_;
  Timer response_timer_;
  Timer tick_timer_;
  std::list<PendingRequest> pending_;
  std::vector<HttpPeer> seeds_;
  std::shared_ptr<HttpCall> relay_call_;
  // Distinguishes this life's sequence numbers from those of earlier ones.
  std::string incarnation_;
  heathersteer::ServerChangeLog changes_;
  std::uint64_t operator_sequence_ = 0;
  std::uint64_t live_sequence_ = 0;
  // What the followed host has told already.
  std::string followed_incarnation_;
  std::uint64_t followed_servers_sequence_ = 0;
  std::uint64_t followed_operator_sequence_ = 0;
  std::uint64_t followed_live_sequence_ = 0;
  std::vector<std::string> followed_endpoints_;
  // Empty while this host reads the store for its domain.
  std::string followed_host_;
  heatherlever::Instant started_at_{0};
  int host_count_ = 1;
  bool registered_ = false;
  // Whether the store failed before this host knew anything.
  bool start_failed_ = false;
  bool hosts_known_ = false;
  bool ready_ = false;
  bool leaving_ = false;
};

}  // namespace heathergate

#endif  // HEATHERGATE_FLEET_AGENT_H_
