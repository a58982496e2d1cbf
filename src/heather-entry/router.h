#ifndef HEATHER_ENTRY_ROUTER_H_
#define HEATHER_ENTRY_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heather-entry/caller_service.h"
#include "heather-entry/directory.h"
#include "heather-entry/job_runner.h"
#include "heather-entry/pool_set.h"
#include "heather-entry/steering.h"
#include "heatherlever/headroom_report.h"
#include "heatherlever/member_record.h"
#include "heatherlever/member_state.h"
#include "heathernet/peer_responder.h"
#include "heathernet/peer_transport.h"

namespace heatherlever {
struct EpochRecord;
}  // namespace heatherlever

namespace heather_entry {

struct ActiveConfig;
struct EntrySettings;

/// Sends each request where it belongs: to a pool or a job ledger of this
/// entry host, or to another one. The functions of CallerService may be called
/// from any thread, all others on the loop thread.
class Router : public CallerService {
 public:
  Router(heathernet::EventLoop& loop,
         heathernet::PeerTransport& peers,
         BackendClient& backends,
         const EntrySettings& settings,
         std::uint64_t incarnation);
  ~Router() override;

  /// Takes a configuration into force; a version not above the present one is
  /// ignored.
  void InstallConfig(std::shared_ptr<const ActiveConfig> config);

  /// Takes an epoch into force, with the configuration that it names.
  void InstallEpoch(const heatherlever::EpochRecord& epoch,
                    std::shared_ptr<const ActiveConfig> config);

  /// Serves a request of a peer.
  void OnPeerRequest(const heathernet::PeerRequest& request,
                     const heathernet::PeerResponder& responder);

  /// The membership's view of another host has changed.
  void OnMember(const heatherlever::MemberRecord& member,
                heatherlever::MemberState state);

  /// News of a pool from its owner.
  void OnHeadroom(const PoolName& pool,
                  const heatherlever::HeadroomReport& report);

  /// This process did not run for a while: others may have taken its pools.
  void OnOwnPause();

  /// The headroom of the pools that this host owns.
  std::map<PoolName, heatherlever::HeadroomReport> OwnHeadroom() const;

  /// Homes and buddies of the pools whose buddy or home this host is.
  std::set<std::string> JobPartners() const;

  /// Brings drains, dead regions and owned pools up to date. To be called some
  /// times a second.
  void Refresh();

  /// Members of the epoch that this host hears of.
  int HeardMembers() const;

  /// Refuses new callers and hands the jobs' pools over.
  void Leave();

  /// Whether every request has ended.
  bool idle() const;

  /// The whole state, for operators.
  nlohmann::json State() const;

  /// Why a request would go where it would go, as lines of text.
  std::vector<std::string> Explain(const std::string& kind,
                                   std::uint32_t client_address) const;

  std::optional<heatherlever::KindSpec> Kind(
      const std::string& name) const override;
  std::vector<std::string> KindNames() const override;
  bool Ready() const override;
  void Submit(const WorkRequest& request, Done done) override;
  void Cancel(const std::string& exchange_id) override;
  std::string LookUp(const std::string& kind,
                     std::uint32_t client_address) override;

 private:
  // A request on its way to the owner of a pool.
  struct PoolTrip {
    WorkRequest request;
    PoolName pool;
    heatherlever::Instant deadline{0};
    std::vector<heatherlever::HostRecord> owners;
    std::size_t next = 0;
    // Whether every failed try certainly did not reach its host.
    bool certainly_not_sent = true;
    Done done;
  };

  // A job on its way to its home or buddy.
  struct JobTrip {
    WorkRequest request;
    heatherlever::Instant deadline{0};
    std::vector<std::string> hosts;
    std::size_t next = 0;
    Done done;
  };

  std::shared_ptr<const ActiveConfig> config() const;
  void Route(const WorkRequest& request, Done done);
  void RouteIdempotent(const WorkRequest& request, Done done);
  void RouteJob(const WorkRequest& request, Done done);
  void CancelOnLoop(const std::string& exchange_id);
  void Forward(const heatherlever::HostRecord& host,
               heathernet::PeerRequest message,
               const std::string& exchange_id,
               heathernet::PeerTransport::Callback callback);
  void TryNextOwner(const std::shared_ptr<PoolTrip>& trip);
  void RunInPool(const WorkRequest& request, const PoolName& pool, Done done);
  void RunJob(const WorkRequest& request, bool depose, Done done);
  // Sends a job to its home, or to the other members of its pool's term.
  void SendJob(const WorkRequest& request, const std::string& home, Done done);
  void TryNextJobHost(const std::shared_ptr<JobTrip>& trip);
  std::vector<std::string> JobHosts(const PoolName& pool,
                                    const std::string& home) const;
  JobPlace PlaceJob(const WorkRequest& request);
  // Sends a job that this host has the right to dispatch to the owner of a
  // pool, once.
  void DispatchRemote(const WorkRequest& request,
                      const PoolName& pool,
                      Done done);
  // Makes the pools that this host owns, so that their headroom is known.
  void MakeOwnPools();
  PoolName JobPool(const WorkRequest& request) const;
  std::string LookUpOnLoop(const std::string& kind,
                           std::uint32_t client_address) const;

  heathernet::EventLoop& loop_;
  heathernet::PeerTransport& peers_;
  const std::string self_;
  const std::string region_;
  Directory directory_;
  PoolSet pools_;
  JobRunner jobs_;
  Steering steering_;
  mutable std::mutex mutex_;
  std::shared_ptr<const ActiveConfig> config_;
  std::shared_ptr<const ActiveConfig> epoch_config_;
  bool epoch_installed_ = false;
  bool leaving_ = false;
  int in_progress_ = 0;
  // Hosts that requests were forwarded to, by exchange id.
  std::multimap<std::string, std::string> forwarded_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_ROUTER_H_
