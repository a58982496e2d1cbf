#ifndef HEATHER_ENTRY_JOB_RUNNER_H_
#define HEATHER_ENTRY_JOB_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "heather-entry/job_place.h"
#include "heather-entry/pool_runner.h"
#include "heather-entry/work_answer.h"
#include "heather-entry/work_request.h"
#include "heatherlever/job_action.h"
#include "heatherlever/job_ledger.h"
#include "heathernet/timer_handle.h"

namespace heathernet {
class PeerTransport;
struct PeerRequest;
}  // namespace heathernet

namespace heather_entry {

class Directory;
class PoolSet;

/// Runs non-idempotent jobs at most once: the job ledger joined with the pools
/// and with the ledgers of other entry hosts. Used on the loop thread.
class JobRunner {
 public:
  using Done = std::function<void(const WorkAnswer&)>;

  /// Sends a request on to another entry host, by name.
  using Redirect = std::function<
      void(const WorkRequest& request, const std::string& host, Done done)>;

  /// Decides whether and where a new job is run.
  using Placer = std::function<JobPlace(const WorkRequest& request)>;

  /// Sends a job to a pool of another region, once.
  using RemoteDispatch = std::function<
      void(const WorkRequest& request, const PoolName& pool, Done done)>;

  JobRunner(heathernet::EventLoop& loop,
            heathernet::PeerTransport& peers,
            Directory& directory,
            PoolSet& pools,
            heatherlever::HostId self);

  void SetRedirect(Redirect redirect) { redirect_ = std::move(redirect); }
  void SetPlacer(Placer placer) { placer_ = std::move(placer); }
  void SetRemoteDispatch(RemoteDispatch remote) {
    remote_dispatch_ = std::move(remote);
  }

  /// Takes the directory's epoch into force.
  void InstallEpoch();

  /// Runs a job of the pool of its home region. `depose`: the sender could not
  /// reach the pool's home.
  void Submit(const WorkRequest& request,
              const heatherlever::KindSpec& kind,
              const PoolName& pool,
              bool depose,
              Done done);

  /// Takes a message of another host's ledger.
  void OnMessage(const heathernet::PeerRequest& message);

  /// Hands the pools over to their buddies.
  void Leave();

  /// Host that leads a pool's jobs, as far as this host knows.
  std::string Home(const PoolName& pool) const;

  /// Whether every job that was sent to a backend server has ended.
  bool idle() const { return !ledger_.HasDispatchedJobs(); }

  /// The ledger's state as text.
  std::string Dump() const;

 private:
  struct Pending {
    WorkRequest request;
    heatherlever::KindSpec kind;
    PoolName pool;
    heatherlever::Instant deadline{0};
    Done done;
  };

  // A job that waits for its dispatch, in a pool of this host or for another
  // region.
  struct QueuedJob {
    PoolName pool;
    // 0 for a job of another region.
    heatherlever::RequestId id = 0;
    WorkRequest request;
    heatherlever::Instant deadline{0};
    Done done;
  };

  void Pump();
  void Run(const heatherlever::SendJobMessage& action);
  void Run(const heatherlever::EnqueueJob& action);
  void Run(const heatherlever::AllowJob& action);
  void Run(const heatherlever::WithdrawJob& action);
  void Run(const heatherlever::ReplyJob& action);
  void Run(const heatherlever::RedirectJob& action);
  void Enqueue(const heatherlever::EnqueueJob& action,
               const Pending& pending,
               const JobPlace& place);
  void SendRemote(const heatherlever::AllowJob& action, QueuedJob& job);
  void RememberRefusal(const heatherlever::JobKey& key,
                       const WorkAnswer& answer);
  void Settle(const heatherlever::EnqueueJob& job, const WorkAnswer& answer);
  // Takes the request out of the table; nothing if it was answered before.
  std::optional<Pending> Take(std::uint64_t request_id);
  void SetTimer();

  heathernet::EventLoop& loop_;
  heathernet::PeerTransport& peers_;
  Directory& directory_;
  PoolSet& pools_;
  const heatherlever::HostId self_;
  heatherlever::JobLedger ledger_;
  Redirect redirect_;
  Placer placer_;
  RemoteDispatch remote_dispatch_;
  std::map<std::uint64_t, Pending> requests_;
  std::map<std::pair<std::string, heatherlever::JobAttempt>, QueuedJob> queued_;
  // Why jobs were refused, until the replies to them are sent.
  std::map<heatherlever::JobKey, WorkAnswer> refusals_;
  std::uint64_t next_id_ = 1;
  heathernet::TimerHandle timer_;
  bool pumping_ = false;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_JOB_RUNNER_H_
