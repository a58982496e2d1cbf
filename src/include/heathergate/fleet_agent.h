#ifndef HEATHERGATE_FLEET_AGENT_H_
#define HEATHERGATE_FLEET_AGENT_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "heathergate/fleet_options.h"
#include "heathergate/fleet_source.h"
#include "heathergate/http_client.h"
#include "heathergate/http_server.h"
#include "heathergate/response_timer.h"
#include "heathergate/timer.h"
#include "heathersteer/burst_limiter.h"
#include "heathersteer/crash_suspect_table.h"
#include "heathersteer/document_history.h"
#include "heathersteer/host_table.h"
#include "heathersteer/limit_pool.h"
#include "heathersteer/limit_summary.h"
#include "heathersteer/live_hosts.h"
#include "heathersteer/operator_state_merge.h"
#include "heathersteer/propagation_timing.h"
#include "heathersteer/relay_order.h"
#include "heathersteer/server_change_log.h"
#include "heathersteer/server_list.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class LimitExchange;
class PeerQuery;
class StoreReader;
struct RelayResponse;
struct RelayRequest;
struct StoreReaderCallbacks;

/// Callbacks for updates.
struct FleetListener {
  std::function<void(const heathersteer::OperatorState&)> on_operator_state;
  std::function<void(const std::vector<heathersteer::BackendServer>&)>
      on_servers;
  /// Number of registered entry hosts.
  std::function<void(int)> on_host_count;
  /// The registered hosts, whenever they were read from the store. `settled`
  /// tells whether they are all hosts, as far as this one can know.
  std::function<void(const std::vector<heathersteer::HostRegistration>&,
                     bool settled)>
      on_hosts;
  /// Returns this host's observations of rate limits and its demand.
  std::function<heathersteer::LimitSummary()> report_limits;
  /// Limits and demand of all hosts known.
  std::function<void(const heathersteer::LimitSummary&)> on_limits;
  /// This host's table of requests that crash servers. The agent adds what
  /// other hosts observe.
  std::function<heathersteer::CrashSuspectTable&()> crash_suspects;
};

/// Keeps an entry host up to date with the operator's state, the backend
/// servers and the other hosts of its domain. In each domain one host reads the
/// store; the others follow it with long-poll requests over the network between
/// hosts. A host whose state is stale, because it can't reach the followed host
/// or that one can't read the store, reads the store itself and queries other
/// hosts in turn.
class FleetAgent {
 public:
  FleetAgent(heathernet::EventLoop& loop,
             FleetSource& source,
             const heathersteer::HostRegistration& self,
             const FleetOptions& options,
             FleetListener listener);
  ~FleetAgent();

  /// Hosts to query, besides the registered ones, while this host's state is
  /// stale.
  void SetSeeds(std::vector<HttpPeer> seeds);

  void Start();

  /// Responds to a relay request or a peer query that arrived at another
  /// address than this host's relay address.
  void HandleRequest(const std::shared_ptr<HttpExchange>& exchange);

  /// Reads the registrations of hosts from the store anew.
  void RefreshHosts();

  /// Notifies the other hosts that this host accepts no more requests.
  void StartLeaving();

  /// Notifies the other hosts of changes in this host's crash suspects.
  void ShareCrashSuspects();

  /// Whether this host accepts requests; the other hosts list it if so.
  void set_ready(bool ready);

  /// The server at this host's relay address.
  const HttpServer& relay_server() const { return server_; }
  HttpServer& relay_server() { return server_; }

  /// Number of requests for updates that were sent to followed hosts.
  std::uint64_t relay_requests() const { return relay_requests_; }

  /// Caller endpoints of this domain's hosts that accept requests, this host's
  /// first if it is one of them.
  std::vector<std::string> CallerEndpoints() const;

 private:
  struct PendingRequest;

  // Registers with the port at which the relay server listens.
  void RegisterRelay();
  void Register();
  void ReadHosts();
  void OnHostsRead(
      const heathersteer::Listing<heathersteer::HostRegistration>& hosts);
  void OnTimeline(std::uint64_t timeline);
  // Asks for state that is newer than a pause.
  void OnPause();
  // When what a relay response contains was known to the host that sent it.
  heatherlever::Instant KnownAt(const RelayResponse& response) const;
  // Whether the list of servers is newer than the last pause, after a relay
  // response.
  bool IsRefreshed(heatherlever::Instant response_known_at) const;
  void Follow();
  void SendRelayRequest(const heathersteer::HostRegistration& host);
  void OnRelayResponse(const heathersteer::HostRegistration& host,
                       const CallResult& result);
  void OnFollowFailed(const heathersteer::HostRegistration& host,
                      const std::string& problem);
  void ApplyResponse(const RelayResponse& response);
  void ApplyServers(const RelayResponse& response,
                    heatherlever::Instant known_at);
  bool ShouldReadStore() const;
  StoreReaderCallbacks MakeReaderCallbacks();
  void OnServersChanged();
  void LogIgnoredReports();
  void OnOperatorState(const heathersteer::OperatorState& state);
  void NotifyOperatorState();
  // Adds what a host lacks that has `document_version` of the document.
  void AddOperatorState(std::uint64_t document_version,
                        RelayResponse& response);
  void ApplyOperatorState(const RelayResponse& response);
  std::uint64_t DocumentVersion() const;
  void CancelRelayRequest();
  bool IsStale() const;
  std::string MakeQuery() const;
  void OnQuery(const std::shared_ptr<HttpExchange>& exchange);
  void OnPeerResponse(const RelayResponse& response);
  int StatedHostCount() const;
  void SetHostCount(int host_count);
  void ReadHostsIfChanged(int host_count);
  void SetPeers(const std::vector<heathersteer::HostRegistration>& hosts);
  bool HasUpdate(const RelayRequest& request) const;
  void RespondWithUpdates();
  void RespondToAllPending();
  void SendResponse(PendingRequest& pending);
  heathersteer::LimitSummary CollectDomainLimits();
  void OnDomainReport(const std::shared_ptr<HttpExchange>& exchange);
  void MergeCrashSuspects(
      const std::vector<heathersteer::CrashSuspect>& suspects,
      const std::string& domain);
  void LogQuarantined();
  void OnSuspectsReply(const std::string& body);
  void ScheduleSuspects();
  void SendCrashSuspects();
  void ReportCrashSuspects(heatherlever::Instant now);
  void SendDomainReport(heatherlever::Instant now);
  void ApplyLimits(heathersteer::LimitSummary limits);
  void ExchangeLimits();
  void Tick();

  FleetSource& source_;
  std::shared_ptr<PauseMonitor> pauses_;
  FleetListener listener_;
  const heathersteer::PropagationTiming timing_;
  std::unique_ptr<StoreReader> reader_;
  heathersteer::RelayOrder relay_order_;
  heathersteer::LiveHosts live_hosts_;
  heathersteer::ServerList servers_;
  std::set<std::string> logged_ignored_reports_;
  heathersteer::OperatorStateMerge operator_state_;
  heathersteer::DocumentHistory documents_;
  // Whether this host's document is not the one that other hosts have under its
  // version, so that deltas don't apply.
  bool document_diverged_ = false;
  heathersteer::HostTable hosts_;
  HttpClient client_;
  std::unique_ptr<PeerQuery> peer_query_;
  std::unique_ptr<LimitExchange> limit_exchange_;
  HttpServer server_;
  Timer register_timer_;
  Timer hosts_timer_;
  Timer follow_timer_;
  ResponseTimer response_timer_;
  Timer tick_timer_;
  Timer suspects_timer_;
  std::list<PendingRequest> pending_;
  // Limit summaries of this host and of those that follow it, and of domains.
  heathersteer::LimitPool host_limits_;
  heathersteer::LimitPool domain_limits_;
  // Their sum at the relay, as received from the relay at the other hosts.
  heathersteer::LimitSummary all_limits_;
  heatherlever::Instant all_limits_at_{0};
  heatherlever::Instant limits_exchanged_at_{0};
  heathersteer::BurstLimiter suspects_limiter_;
  // Whether the timer runs, and whether other hosts than followers are to get
  // a report when it ends.
  bool suspects_scheduled_ = false;
  bool suspects_report_due_ = false;
  // Sequence number up to which followers have been notified of suspects.
  std::uint64_t notified_suspects_ = 0;
  std::size_t logged_quarantined_ = 0;
  // Whether suspects from before this host's start are still to be asked for.
  bool needs_suspects_ = true;
  std::vector<HttpPeer> seeds_;
  std::shared_ptr<HttpCall> relay_call_;
  // Random identifier that distinguishes the sequence numbers of this
  // incarnation from those of earlier ones.
  std::string incarnation_;
  heathersteer::ServerChangeLog changes_;
  std::uint64_t operator_sequence_ = 0;
  std::uint64_t live_sequence_ = 0;
  // What the followed host has sent so far.
  std::string followed_incarnation_;
  std::uint64_t followed_servers_sequence_ = 0;
  std::uint64_t followed_operator_sequence_ = 0;
  std::uint64_t followed_live_sequence_ = 0;
  std::uint64_t followed_suspects_sequence_ = 0;
  // Whether this host's list of servers is not the followed host's at
  // followed_servers_sequence_, so that deltas of it don't apply. The full list
  // is requested once it is newer than this host's.
  bool list_diverged_ = true;
  std::vector<std::string> followed_endpoints_;
  // Empty while this host reads the store for its domain.
  std::string followed_host_;
  heatherlever::Instant relay_sent_at_{0};
  std::uint64_t relay_requests_ = 0;
  heatherlever::Instant started_at_{0};
  // 0 while it isn't known.
  int host_count_ = 0;
  // Newest timeline of the store that this host knows of.
  std::uint64_t timeline_ = 0;
  bool registered_ = false;
  bool registering_ = false;
  // Whether a registration has failed since the start.
  bool start_failed_ = false;
  bool hosts_known_ = false;
  // Number of hosts by the last read of the registrations, and when it changed.
  int read_host_count_ = 0;
  heatherlever::Instant hosts_changed_at_{0};
  // Whether all hosts have registered, as far as this one can know.
  bool hosts_settled_;
  // Whether a read of the registrations was left out while this host followed
  // another one.
  bool hosts_read_due_ = false;
  bool ready_ = false;
  bool leaving_ = false;
};

}  // namespace heathergate

#endif  // HEATHERGATE_FLEET_AGENT_H_
