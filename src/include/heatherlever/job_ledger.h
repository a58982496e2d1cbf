#ifndef HEATHERLEVER_JOB_LEDGER_H_
#define HEATHERLEVER_JOB_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>
#include "heatherlever/instant.h"
#include "heatherlever/job_action.h"
#include "heatherlever/job_epoch.h"
#include "heatherlever/job_ledger_options.h"
#include "heatherlever/job_request.h"

namespace heatherlever {

struct JobContext;
class JobReplica;

/// Runs each non-idempotent job at most once and answers truthfully whether it
/// was run. One object for each entry host; see docs/design/at-most-once.md.
/// Events go in and actions come out; copies are independent.
class JobLedger {
 public:
  explicit JobLedger(JobLedgerOptions options);
  JobLedger(const JobLedger& other);
  JobLedger& operator=(const JobLedger& other);
  JobLedger(JobLedger&&) noexcept;
  JobLedger& operator=(JobLedger&&) noexcept;
  ~JobLedger();

  /// Takes a newer epoch into force. False, without effect, if its number is
  /// not above that of the epoch in force.
  bool InstallEpoch(const JobEpoch& epoch, Instant now);

  /// Takes a request. It is answered by one ReplyJob or RedirectJob, at its
  /// deadline at the latest.
  void Submit(const JobRequest& request, Instant now);

  /// Takes a request whose sender could not reach the pool's leader: this
  /// host deposes the leader if it is a member of the pool's term.
  void SubmitAtBuddy(const JobRequest& request, Instant now);

  void OnMessage(const HostId& from, const JobMessage& message, Instant now);

  /// A peer does not answer. Any message from it says that it does again.
  void OnPeerUnreachable(const HostId& peer, Instant now);

  /// A peer's process has ended for certain, as the platform's host list says.
  void OnPeerGone(const HostId& peer, Instant now);

  /// The queue is about to send the job to a backend server. False if it must
  /// not, because the job was withdrawn or its deadline has passed.
  bool Dispatch(const std::string& pool,
                const JobKey& key,
                const JobAttempt& attempt,
                Instant now);

  /// The result of an attempt: kNotRun only if it is certain that no backend
  /// server ran it or will run it.
  void Settle(const std::string& pool,
              const JobKey& key,
              const JobAttempt& attempt,
              JobOutcome outcome,
              const std::string& answer,
              Instant now);

  /// Hands every pool that this host leads to its next member. Jobs that were
  /// dispatched finish here.
  void Leave(Instant now);

  void Tick(Instant now);

  /// When Tick is next needed; nothing if no event is due.
  std::optional<Instant> NextWakeup() const;

  /// The actions since the last call, in order.
  std::vector<JobAction> TakeActions();

  /// Host to ask for jobs of a pool, by what is known here; nothing if the
  /// pool is unknown.
  std::optional<HostId> Leader(const std::string& pool) const;

  /// Whether a job of this host is dispatched and not settled.
  bool HasDispatchedJobs() const;

  /// Keys remembered.
  std::size_t record_count() const;

  /// The whole state as text, the same for the same state.
  std::string Dump(Instant now) const;

 private:
  JobReplica* NewestReplica(const std::string& pool);
  JobReplica* Replica(const std::string& pool, std::uint64_t term);
  const PoolAssignment* Assignment(const std::string& pool,
                                   std::uint64_t term) const;
  void Take(const JobRequest& request, bool depose, Instant now);
  void InstallPool(const PoolAssignment& pool, Instant now);
  void Deliver(const HostId& from, const JobMessage& message, Instant now);
  void OnClose(const HostId& from, const JobMessage& message, Instant now);
  void OnReport(const HostId& from, const JobMessage& message, Instant now);
  void DeliverToSelf(Instant now);
  void NoteIncarnation(const HostId& host);
  void TellLaterTerms(const PoolAssignment& own,
                      const JobRecordCopy& result,
                      JobContext& context);
  void ForgetClosedReplicas();
  bool IsSelf(const HostId& host) const;
  std::optional<std::size_t> MemberIndex(const PoolTerm& term) const;
  template <typename Visit>
  void ForEachReplica(const Visit& visit);
  JobContext Context(Instant now);

  JobLedgerOptions options_;
  std::uint64_t epoch_ = 0;
  /// Assignments by pool and term; the last of a pool is in force.
  std::map<std::string, std::map<std::uint64_t, PoolAssignment>> assignments_;
  /// Replicas by pool and term, where this host is a member.
  std::map<std::string, std::map<std::uint64_t, JobReplica>> replicas_;
  /// Highest closed term of each pool.
  std::map<std::string, std::uint64_t> closed_terms_;
  std::set<HostId> unreachable_;
  std::set<HostId> gone_;
  std::map<std::string, std::uint64_t> incarnations_;
  std::vector<JobAction> actions_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_LEDGER_H_
