#ifndef HEATHERLEVER_LIB_JOB_REPLICA_H_
#define HEATHERLEVER_LIB_JOB_REPLICA_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlever/job_message.h"
#include "heatherlever/pool_assignment.h"
#include "job_context.h"
#include "job_table.h"

namespace heatherlever {

/// What a member does in the current view of its term.
enum class JobPhase : std::uint8_t {
  kFollowing,
  /// Asks the other members for the promise to refuse earlier views.
  kDeposing,
  /// Closes an earlier term and collects its records.
  kTakingOver,
  /// Copies the collected records to a quorum.
  kSeeding,
  kLeading,
};

inline constexpr std::array<std::string_view, 5> kJobPhaseNames = {
    "following", "deposing", "taking-over", "seeding", "leading"};

/// One member of one pool's term. Member `view % members` leads a view; a
/// member refuses whatever comes from a view before its own.
class JobReplica {
 public:
  /// `older` names, by a term's number, the term before it.
  JobReplica(PoolAssignment assignment,
             std::size_t self_index,
             std::map<std::uint64_t, PoolTerm> older);

  /// Starts serving the term.
  void Start(JobContext& context);

  /// Takes a request; `depose` says that its sender cannot reach the leader.
  void Take(const JobRequest& request, bool depose, JobContext& context);

  /// Promises never to act in this term again: `successor` leads a later one.
  void Close(const HostId& successor, JobContext& context);

  void OnMessage(const HostId& from,
                 const JobMessage& message,
                 JobContext& context);

  /// Answer to JobClose from a member of an earlier term.
  void OnCloseReport(const HostId& from,
                     std::uint64_t term,
                     const JobReport& report,
                     JobContext& context);

  /// The outcome of an attempt, from any member.
  void OnResult(const JobRecordCopy& copy, JobContext& context);

  /// A peer became silent or its process ended.
  void OnSilentPeer(const HostId& peer, JobContext& context);

  bool Dispatch(const JobKey& key,
                const JobAttempt& attempt,
                JobContext& context);

  /// The result that later terms have to learn; nothing if this replica does
  /// not own the attempt or the result is not final.
  std::optional<JobRecordCopy> Settle(const JobKey& key,
                                      const JobAttempt& attempt,
                                      JobOutcome outcome,
                                      const std::string& answer,
                                      JobContext& context);

  void Leave(JobContext& context);
  void Tick(JobContext& context);
  std::optional<Instant> NextWakeup() const;

  /// The report that a member gives when it closes or promises.
  JobReport Report(bool closing, Instant now) const;

  const HostId& Leader() const;
  bool HasDispatchedJobs() const;
  bool closed() const { return closed_; }
  const HostId& successor() const { return successor_; }
  const PoolAssignment& assignment() const { return assignment_; }
  const JobTable& table() const { return table_; }
  std::string Dump(Instant now) const;

 private:
  // job_replica.cc: views.
  void Depose(JobContext& context);
  void CheckPromises(JobContext& context);
  void Lead(JobContext& context);
  void StepDown(const HostId& successor, JobContext& context);
  void AdvanceView(std::uint64_t view, JobContext& context);
  bool Accepts(const HostId& from,
               const JobMessage& message,
               JobContext& context);
  void OnDepose(const HostId& from, JobContext& context);
  void OnReport(const HostId& from,
                const JobMessage& message,
                const JobReport& report,
                JobContext& context);
  void OnRefusal(const JobMessage& message,
                 const JobRefusal& refusal,
                 JobContext& context);

  // job_replica_take_over.cc: reports, take-over and seeding.
  void StartTakeOver(const PoolTerm& target, JobContext& context);
  void CheckTakeOver(JobContext& context);
  bool CanOnlyGuess(const JobContext& context) const;
  void StartSeeding(JobContext& context);
  void MergeReport(const HostId& from,
                   std::uint64_t term,
                   std::uint64_t view,
                   const JobReport& report,
                   JobContext& context);
  std::vector<JobRequest> Release(const HostId& owner,
                                  std::uint64_t term,
                                  std::uint64_t view,
                                  const std::map<JobKey, JobAttempt>& listed);
  bool IsReleased(const JobRecord& record) const;
  void TakeUncertainty(Duration uncertain, JobContext& context);
  void OnSeed(const HostId& from, const JobSeed& seed, JobContext& context);
  void OnSeedAck(const HostId& from, JobContext& context);

  // job_replica_jobs.cc: requests, intents and outcomes.
  void Handle(const JobRequest& request, JobContext& context);
  void Start(const JobRequest& request, JobContext& context);
  void Repeat(JobEntry& entry, const JobRequest& request, JobContext& context);
  void CheckAcknowledged(JobEntry& entry, JobContext& context);
  void OnIntent(const HostId& from,
                const JobMessage& message,
                const JobIntent& intent,
                JobContext& context);
  void OnIntentAck(const HostId& from,
                   const JobIntentAck& ack,
                   JobContext& context);
  void GiveUp(JobEntry& entry,
              JobOutcome outcome,
              JobReason reason,
              JobContext& context);
  void TellSuccessor(const JobRecordCopy& copy, JobContext& context) const;
  void AnswerSettled(JobEntry& entry, JobContext& context);
  void Expire(JobEntry& entry, JobContext& context);
  void ExpireWaiting(JobContext& context);
  void Resend(JobContext& context);

  // Messages.
  void Send(const HostId& to, JobMessageBody body, JobContext& context) const;
  void SendToOthers(const JobMessageBody& body,
                    std::uint32_t except,
                    JobContext& context) const;
  void SendClose(JobContext& context) const;
  void ScheduleResend(JobContext& context);
  std::uint32_t Bit(const HostId& member) const;
  std::uint32_t SelfBit() const { return 1U << self_index_; }
  bool IsQuorumHere(std::uint32_t mask) const;
  bool IsUncertain(Instant now) const { return now < uncertain_until_; }

  PoolAssignment assignment_;
  std::size_t self_index_;
  std::map<std::uint64_t, PoolTerm> older_;
  JobPhase phase_ = JobPhase::kFollowing;
  std::uint64_t view_ = 0;
  std::uint64_t last_sequence_ = 0;
  bool closed_ = false;
  HostId successor_;
  /// Whether the records of the terms before are here.
  bool seeded_ = false;
  /// Until then a key without a record may have been run before.
  Instant uncertain_until_{0};
  /// Members that answered in the present phase, as bits.
  std::uint32_t answered_ = 0;
  /// Whether any of them was seeded.
  bool any_seeded_ = false;
  /// Earlier term that is being closed.
  PoolTerm target_;
  /// Hosts that have reported on a term, and the view before which that binds
  /// them: no attempt that the report left out is dispatched any more.
  std::map<std::pair<std::uint64_t, HostId>, std::uint64_t> reported_;
  JobTable table_;
  /// Requests that wait for this member to lead.
  std::vector<JobRequest> waiting_;
  /// Keys that may be pending.
  std::set<JobKey> pending_;
  /// When unanswered messages are sent again, if any may be outstanding.
  std::optional<Instant> resend_at_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LIB_JOB_REPLICA_H_
