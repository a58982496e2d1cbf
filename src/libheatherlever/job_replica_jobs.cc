// Requests, intents and outcomes.

#include <algorithm>

#include "job_chart.h"
#include "job_replica.h"

namespace heatherlever {
namespace {

// Part of the capacity that is kept free for refusing jobs: a refusal is
// recorded like a job until a quorum has confirmed that the key was not run.
constexpr std::size_t kRefusalShare = 8;

bool IsOwnWaiting(JobState state) {
  return state == JobState::kPending || state == JobState::kAllowed;
}

}  // namespace

void JobReplica::Handle(const JobRequest& request, JobContext& context) {
  JobEntry* entry = table_.Find(request.key);
  if (entry != nullptr) {
    Repeat(*entry, request, context);
    return;
  }
  if (IsUncertain(context.now)) {
    context.Reply(request, JobOutcome::kUnknown, JobReason::kRecordsLost);
    return;
  }
  Start(request, context);
}

void JobReplica::Start(const JobRequest& request, JobContext& context) {
  const std::size_t capacity = context.options.max_records;
  if (context.record_count >= capacity + capacity / kRefusalShare) {
    context.Reply(request, JobOutcome::kUnknown, JobReason::kLedgerFull);
    return;
  }
  JobRecord record;
  record.key = request.key;
  record.fingerprint = request.fingerprint;
  record.attempt = {assignment_.term.number, view_, ++last_sequence_};
  record.owner = context.options.self;
  record.state = JobState::kPending;
  record.deadline = request.deadline;
  record.forget_at = request.deadline + request.retention;
  JobEntry& entry = table_.Put(record);
  table_.Attach(entry, request);
  pending_.insert(request.key);
  if (context.record_count >= capacity) {
    entry.refusal = JobReason::kLedgerFull;
  } else {
    context.actions.emplace_back(
        EnqueueJob{assignment_.pool, request.key, record.attempt, request.id});
  }
  ++context.record_count;
  entry.acknowledged = SelfBit();
  SendToOthers(JobIntent{CopyRecord(record, context.now)}, SelfBit(), context);
  ScheduleResend(context);
  CheckAcknowledged(entry, context);
}

void JobReplica::Repeat(JobEntry& entry,
                        const JobRequest& request,
                        JobContext& context) {
  const JobRecord& record = entry.record;
  if (record.fingerprint != request.fingerprint) {
    context.Reply(request, JobOutcome::kNotRun, JobReason::kKeyReused);
    return;
  }
  if (record.state == JobState::kHeld && context.IsSilent(record.owner)) {
    context.Reply(request, JobOutcome::kUnknown, JobReason::kHolderSilent);
    return;
  }
  table_.Attach(entry, request);
  if (IsSettled(record.state)) {
    AnswerSettled(entry, context);
  }
}

void JobReplica::CheckAcknowledged(JobEntry& entry, JobContext& context) {
  const bool enough = IsQuorumHere(entry.acknowledged) ||
                      context.options.faults.dispatch_without_quorum;
  if (entry.record.state != JobState::kPending || !enough) {
    return;
  }
  if (entry.refusal) {
    GiveUp(entry, JobOutcome::kNotRun, *entry.refusal, context);
    return;
  }
  ApplyJobEvent(entry.record.state, JobEvent::kAcknowledged);
  context.actions.emplace_back(
      AllowJob{assignment_.pool, entry.record.key, entry.record.attempt});
}

void JobReplica::OnIntent(const HostId& from,
                          const JobMessage& message,
                          const JobIntent& intent,
                          JobContext& context) {
  const JobRecord& theirs = intent.copy.record;
  JobEntry* entry = table_.Find(theirs.key);
  const bool replaceable =
      entry == nullptr || (entry->record.state == JobState::kHeld &&
                           entry->record.attempt < theirs.attempt);
  if (replaceable) {
    entry = table_.Merge(intent.copy, context.now);
  }
  if (entry->record.state == JobState::kHeld &&
      entry->record.attempt == theirs.attempt) {
    JobMessage ack{from, assignment_.pool, message.term, message.view,
                   JobIntentAck{theirs.key, theirs.attempt}};
    context.actions.emplace_back(SendJobMessage{std::move(ack)});
  }
}

void JobReplica::OnIntentAck(const HostId& from,
                             const JobIntentAck& ack,
                             JobContext& context) {
  JobEntry* entry = table_.Find(ack.key);
  if (entry == nullptr || entry->record.attempt != ack.attempt) {
    return;
  }
  entry->acknowledged |= Bit(from);
  CheckAcknowledged(*entry, context);
}

bool JobReplica::Dispatch(const JobKey& key,
                          const JobAttempt& attempt,
                          JobContext& context) {
  JobEntry* entry = table_.Find(key);
  if (entry == nullptr || entry->record.attempt != attempt) {
    return false;
  }
  if (entry->record.state == JobState::kAllowed &&
      entry->record.deadline <= context.now) {
    GiveUp(*entry, JobOutcome::kNotRun, JobReason::kDeadline, context);
    return false;
  }
  return ApplyJobEvent(entry->record.state, JobEvent::kDispatched);
}

std::optional<JobRecordCopy> JobReplica::Settle(const JobKey& key,
                                                const JobAttempt& attempt,
                                                JobOutcome outcome,
                                                const std::string& answer,
                                                JobContext& context) {
  JobEntry* entry = table_.Find(key);
  if (entry == nullptr || entry->record.attempt != attempt ||
      entry->record.owner != context.options.self ||
      IsSettled(entry->record.state)) {
    return std::nullopt;
  }
  JobRecord& record = entry->record;
  if (outcome == JobOutcome::kNotRun) {
    if (record.state == JobState::kPending) {
      // Only a quorum can tell that no earlier attempt ran.
      entry->refusal = JobReason::kSettled;
      return std::nullopt;
    }
    JobRecordCopy copy = CopyRecord(record, context.now);
    ApplyJobEvent(copy.record.state, JobEvent::kNotRun);
    GiveUp(*entry, JobOutcome::kNotRun, JobReason::kSettled, context);
    TellSuccessor(copy, context);
    return copy;
  }
  const bool done = outcome == JobOutcome::kDone;
  if (!ApplyJobEvent(record.state,
                     done ? JobEvent::kDone : JobEvent::kUnknown)) {
    return std::nullopt;
  }
  record.answer = answer;
  AnswerSettled(*entry, context);
  if (record.answer.size() > context.options.max_answer_bytes) {
    record.answer.clear();
    record.answer_dropped = true;
  }
  const JobRecordCopy copy = CopyRecord(record, context.now);
  SendToOthers(JobResult{copy}, 0, context);
  TellSuccessor(copy, context);
  return copy;
}

// The leader of a later term may wait for the result, and this host may not
// know that term yet.
void JobReplica::TellSuccessor(const JobRecordCopy& copy,
                               JobContext& context) const {
  if (closed_ && successor_ != context.options.self) {
    Send(successor_, JobResult{copy}, context);
  }
}

// Ends an own attempt that was certainly not run.
void JobReplica::GiveUp(JobEntry& entry,
                        JobOutcome outcome,
                        JobReason reason,
                        JobContext& context) {
  const JobRecord& record = entry.record;
  if (IsOwnWaiting(record.state) && !entry.refusal) {
    context.actions.emplace_back(
        WithdrawJob{assignment_.pool, record.key, record.attempt});
  }
  for (const JobRequest& request : entry.requests) {
    context.Reply(request, outcome, reason);
  }
  JobRecordCopy copy = CopyRecord(record, context.now);
  ApplyJobEvent(copy.record.state, JobEvent::kNotRun);
  SendToOthers(JobResult{copy}, 0, context);
  table_.Erase(copy.record.key);
}

void JobReplica::AnswerSettled(JobEntry& entry, JobContext& context) {
  const JobRecord& record = entry.record;
  const JobOutcome outcome = record.state == JobState::kDone
                                 ? JobOutcome::kDone
                                 : JobOutcome::kUnknown;
  for (const JobRequest& request : entry.requests) {
    context.actions.emplace_back(ReplyJob{request.id, outcome,
                                          JobReason::kSettled, record.answer,
                                          record.answer_dropped});
  }
  entry.requests.clear();
}

void JobReplica::OnResult(const JobRecordCopy& copy, JobContext& context) {
  JobEntry* entry = table_.Find(copy.record.key);
  if (copy.record.state != JobState::kNotRun) {
    entry = table_.Merge(copy, context.now);
    if (entry != nullptr) {
      AnswerSettled(*entry, context);
    }
    return;
  }
  if (entry == nullptr || entry->record.state != JobState::kHeld ||
      entry->record.attempt != copy.record.attempt) {
    return;
  }
  const std::vector<JobRequest> again = entry->requests;
  table_.Erase(copy.record.key);
  for (const JobRequest& request : again) {
    Take(request, false, context);
  }
}

void JobReplica::Expire(JobEntry& entry, JobContext& context) {
  const JobRecord& record = entry.record;
  if (IsOwnWaiting(record.state) && record.deadline <= context.now) {
    const bool certain = record.state == JobState::kAllowed ||
                         context.options.faults.not_run_without_quorum;
    GiveUp(entry, certain ? JobOutcome::kNotRun : JobOutcome::kUnknown,
           certain ? JobReason::kDeadline : JobReason::kNoQuorum, context);
    return;
  }
  const auto expired = [&context](const JobRequest& request) {
    return request.deadline <= context.now;
  };
  for (const JobRequest& request : entry.requests) {
    if (expired(request)) {
      context.Reply(request, JobOutcome::kUnknown, JobReason::kDeadline);
    }
  }
  std::erase_if(entry.requests, expired);
  if (record.forget_at <= context.now && entry.requests.empty()) {
    const JobKey key = record.key;
    table_.Erase(key);
  }
}

void JobReplica::ExpireWaiting(JobContext& context) {
  const auto expired = [&context](const JobRequest& request) {
    return request.deadline <= context.now;
  };
  for (const JobRequest& request : waiting_) {
    if (expired(request)) {
      context.Reply(request, JobOutcome::kUnknown, JobReason::kNoQuorum);
    }
  }
  std::erase_if(waiting_, expired);
}

void JobReplica::Tick(JobContext& context) {
  for (const JobKey& key : table_.TakeDue(context.now)) {
    JobEntry* entry = table_.Find(key);
    if (entry != nullptr) {
      Expire(*entry, context);
    }
  }
  ExpireWaiting(context);
  if (resend_at_ && *resend_at_ <= context.now) {
    resend_at_.reset();
    Resend(context);
  }
}

void JobReplica::Resend(JobContext& context) {
  if (phase_ == JobPhase::kDeposing) {
    SendToOthers(JobDepose{}, answered_, context);
  } else if (phase_ == JobPhase::kTakingOver) {
    SendClose(context);
  } else if (phase_ == JobPhase::kSeeding) {
    const Duration uncertain =
        std::max(Duration(0), uncertain_until_ - context.now);
    SendToOthers(JobSeed{uncertain, table_.Copies(context.now)}, answered_,
                 context);
  } else {
    std::erase_if(pending_, [this](const JobKey& key) {
      const JobEntry* entry = table_.Find(key);
      return entry == nullptr || entry->record.state != JobState::kPending;
    });
    for (const JobKey& key : pending_) {
      const JobEntry& entry = *table_.Find(key);
      SendToOthers(JobIntent{CopyRecord(entry.record, context.now)},
                   entry.acknowledged, context);
    }
    if (pending_.empty()) {
      return;
    }
  }
  ScheduleResend(context);
}

std::optional<Instant> JobReplica::NextWakeup() const {
  std::optional<Instant> next = table_.NextDue();
  const auto sooner = [&next](Instant at) {
    next = next ? std::min(*next, at) : at;
  };
  if (resend_at_) {
    sooner(*resend_at_);
  }
  for (const JobRequest& request : waiting_) {
    sooner(request.deadline);
  }
  return next;
}

bool JobReplica::HasDispatchedJobs() const {
  const JobTable::Entries& entries = table_.entries();
  return std::any_of(entries.begin(), entries.end(), [](const auto& item) {
    return item.second.record.state == JobState::kDispatched;
  });
}

}  // namespace heatherlever
