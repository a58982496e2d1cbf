// Reports of other members: taking over an earlier term, and seeding this one.

#include <algorithm>
#include <limits>

#include "job_replica.h"

namespace heatherlever {
namespace {

constexpr std::uint64_t kEveryView = std::numeric_limits<std::uint64_t>::max();

}  // namespace

void JobReplica::StartTakeOver(const PoolTerm& target, JobContext& context) {
  target_ = target;
  answered_ = 0;
  any_seeded_ = false;
  if (target_.number == 0 || context.options.faults.skip_take_over) {
    StartSeeding(context);
    return;
  }
  phase_ = JobPhase::kTakingOver;
  SendClose(context);
  ScheduleResend(context);
  CheckTakeOver(context);
}

void JobReplica::CheckTakeOver(JobContext& context) {
  if (phase_ != JobPhase::kTakingOver) {
    return;
  }
  if (!IsQuorum(target_.members.size(), answered_)) {
    if (!CanOnlyGuess(context)) {
      return;
    }
    // What only the ended members knew is lost.
    TakeUncertainty(context.options.uncertain_time, context);
  }
  if (any_seeded_) {
    StartSeeding(context);
    return;
  }
  // Without a seeded member the target never dispatched a job: the term before
  // it may still be open.
  const auto earlier = older_.find(target_.number);
  if (earlier != older_.end()) {
    const PoolTerm next = earlier->second;
    StartTakeOver(next, context);
  }
}

// Whether no member that may still answer is left, and those that answered or
// ended keep the others from ever dispatching a job.
bool JobReplica::CanOnlyGuess(const JobContext& context) const {
  std::uint32_t ended = 0;
  for (const HostId& member : target_.members) {
    const std::uint32_t bit = MemberBit(target_, member);
    if ((answered_ & bit) == 0 && !context.IsSilent(member)) {
      return false;
    }
    ended |= context.IsGone(member) ? bit : 0;
  }
  return IsQuorum(target_.members.size(), answered_ | ended);
}

void JobReplica::StartSeeding(JobContext& context) {
  phase_ = JobPhase::kSeeding;
  seeded_ = true;
  answered_ = SelfBit();
  const Duration uncertain =
      std::max(Duration(0), uncertain_until_ - context.now);
  SendToOthers(JobSeed{uncertain, table_.Copies(context.now)}, answered_,
               context);
  ScheduleResend(context);
  if (IsQuorumHere(answered_)) {
    Lead(context);
  }
}

// Whether the owner has reported and left the attempt out.
bool JobReplica::IsReleased(const JobRecord& record) const {
  const auto bound = reported_.find({record.attempt.term, record.owner});
  return bound != reported_.end() && record.attempt.view < bound->second;
}

void JobReplica::MergeReport(const HostId& from,
                             std::uint64_t term,
                             std::uint64_t view,
                             const JobReport& report,
                             JobContext& context) {
  std::map<JobKey, JobAttempt> own;
  for (const JobRecordCopy& copy : report.records) {
    const bool owned = copy.record.owner == from;
    if (owned) {
      own[copy.record.key] = copy.record.attempt;
    }
    if (!owned && !IsSettled(copy.record.state) && IsReleased(copy.record)) {
      continue;
    }
    JobEntry* entry = table_.Merge(copy, context.now);
    if (entry != nullptr && IsSettled(entry->record.state)) {
      AnswerSettled(*entry, context);
    }
  }
  std::uint64_t& bound = reported_[{term, from}];
  bound = std::max(bound, view);
  const std::vector<JobRequest> again = Release(from, term, view, own);
  for (const JobRequest& request : again) {
    Take(request, false, context);
  }
}

// Drops the records of attempts that their owner's report left out, and
// returns the requests that waited for them.
std::vector<JobRequest> JobReplica::Release(
    const HostId& owner,
    std::uint64_t term,
    std::uint64_t view,
    const std::map<JobKey, JobAttempt>& listed) {
  const auto left_out = [&](const JobRecord& record) {
    const auto found = listed.find(record.key);
    const bool is_listed =
        found != listed.end() && found->second == record.attempt;
    return record.owner == owner && record.state == JobState::kHeld &&
           record.attempt.term == term && record.attempt.view < view &&
           !is_listed;
  };
  std::vector<JobRequest> waiting;
  std::erase_if(table_.entries(), [&](const auto& item) {
    const JobEntry& entry = item.second;
    if (!left_out(entry.record)) {
      return false;
    }
    waiting.insert(waiting.end(), entry.requests.begin(), entry.requests.end());
    return true;
  });
  return waiting;
}

void JobReplica::TakeUncertainty(Duration uncertain, JobContext& context) {
  if (uncertain > Duration(0)) {
    uncertain_until_ = std::max(uncertain_until_, context.now + uncertain);
  }
}

void JobReplica::OnCloseReport(const HostId& from,
                               std::uint64_t term,
                               const JobReport& report,
                               JobContext& context) {
  if (closed_ || phase_ < JobPhase::kTakingOver) {
    return;
  }
  MergeReport(from, term, kEveryView, report, context);
  if (report.previous_known) {
    older_[term] = report.previous;
  }
  if (phase_ == JobPhase::kTakingOver && term == target_.number) {
    TakeUncertainty(report.uncertain, context);
    answered_ |= MemberBit(target_, from);
    any_seeded_ = any_seeded_ || report.seeded;
    CheckTakeOver(context);
  }
}

void JobReplica::OnSeed(const HostId& from,
                        const JobSeed& seed,
                        JobContext& context) {
  for (const JobRecordCopy& copy : seed.records) {
    table_.Merge(copy, context.now);
  }
  TakeUncertainty(seed.uncertain, context);
  seeded_ = true;
  Send(from, JobSeedAck{}, context);
}

void JobReplica::OnSeedAck(const HostId& from, JobContext& context) {
  if (phase_ != JobPhase::kSeeding) {
    return;
  }
  answered_ |= Bit(from);
  if (IsQuorumHere(answered_)) {
    Lead(context);
  }
}

void JobReplica::SendClose(JobContext& context) const {
  for (const HostId& member : target_.members) {
    if ((answered_ & MemberBit(target_, member)) == 0) {
      context.actions.emplace_back(SendJobMessage{
          {member, assignment_.pool, target_.number, view_, JobClose{}}});
    }
  }
}

}  // namespace heatherlever
