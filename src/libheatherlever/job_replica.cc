// Views of a term: who leads and who follows.
//
// A job is dispatched only after a quorum recorded its intent. A new leader
// first binds a quorum (of the same term by JobDepose, of the earlier term by
// JobClose). As two quorums share a member, it then knows every attempt that
// was or may yet be dispatched by another host.

#include "job_replica.h"

#include <algorithm>

namespace heatherlever {

JobReplica::JobReplica(PoolAssignment assignment,
                       std::size_t self_index,
                       std::map<std::uint64_t, PoolTerm> older)
    : assignment_(std::move(assignment)),
      self_index_(self_index),
      older_(std::move(older)) {
  older_[assignment_.term.number] = assignment_.previous;
}

void JobReplica::Start(JobContext& context) {
  seeded_ = assignment_.previous.number == 0;
  if (self_index_ != 0 || closed_) {
    return;
  }
  if (seeded_) {
    Lead(context);
  } else {
    StartTakeOver(assignment_.previous, context);
  }
}

void JobReplica::Take(const JobRequest& request,
                      bool depose,
                      JobContext& context) {
  if (closed_) {
    context.Redirect(request, successor_);
    return;
  }
  if (phase_ == JobPhase::kLeading) {
    Handle(request, context);
    return;
  }
  const bool own_view = view_ % assignment_.term.members.size() == self_index_;
  if (phase_ == JobPhase::kFollowing && !depose && !own_view) {
    context.Redirect(request, Leader());
    return;
  }
  waiting_.push_back(request);
  if (phase_ == JobPhase::kFollowing) {
    Depose(context);
  }
}

void JobReplica::Close(const HostId& successor, JobContext& context) {
  if (closed_) {
    return;
  }
  closed_ = true;
  successor_ = successor;
  StepDown(successor, context);
}

void JobReplica::Depose(JobContext& context) {
  const std::size_t count = assignment_.term.members.size();
  do {
    ++view_;
  } while (view_ % count != self_index_);
  phase_ = JobPhase::kDeposing;
  answered_ = SelfBit();
  any_seeded_ = seeded_;
  reported_[{assignment_.term.number, assignment_.term.members[self_index_]}] =
      view_;
  SendToOthers(JobDepose{}, answered_, context);
  ScheduleResend(context);
  CheckPromises(context);
}

void JobReplica::CheckPromises(JobContext& context) {
  if (!IsQuorumHere(answered_)) {
    return;
  }
  if (any_seeded_) {
    seeded_ = true;
    Lead(context);
    return;
  }
  // Whoever led before was not seeded by a quorum and so never dispatched.
  StartTakeOver(assignment_.previous, context);
}

void JobReplica::Lead(JobContext& context) {
  phase_ = JobPhase::kLeading;
  std::vector<JobRequest> waiting;
  waiting.swap(waiting_);
  for (const JobRequest& request : waiting) {
    Handle(request, context);
  }
}

// Attempts that were not dispatched are given up, which the next report says.
// Requests of dispatched ones stay for their outcome.
void JobReplica::StepDown(const HostId& successor, JobContext& context) {
  phase_ = JobPhase::kFollowing;
  resend_at_.reset();
  pending_.clear();
  for (const JobRequest& request : waiting_) {
    context.Redirect(request, successor);
  }
  waiting_.clear();
  std::vector<JobKey> given_up;
  for (auto& [key, entry] : table_.entries()) {
    const JobState state = entry.record.state;
    if (state == JobState::kDispatched) {
      continue;
    }
    for (const JobRequest& request : entry.requests) {
      context.Redirect(request, successor);
    }
    entry.requests.clear();
    if (state == JobState::kPending || state == JobState::kAllowed) {
      context.actions.emplace_back(
          WithdrawJob{assignment_.pool, key, entry.record.attempt});
      given_up.push_back(key);
    }
  }
  for (const JobKey& key : given_up) {
    table_.Erase(key);
  }
}

void JobReplica::AdvanceView(std::uint64_t view, JobContext& context) {
  if (view <= view_) {
    return;
  }
  view_ = view;
  StepDown(Leader(), context);
}

bool JobReplica::Accepts(const HostId& from,
                         const JobMessage& message,
                         JobContext& context) {
  if (closed_ || message.view < view_) {
    Send(from, JobRefusal{closed_, successor_}, context);
    return false;
  }
  AdvanceView(message.view, context);
  return true;
}

void JobReplica::OnMessage(const HostId& from,
                           const JobMessage& message,
                           JobContext& context) {
  const JobMessageBody& body = message.body;
  if (const auto* refusal = std::get_if<JobRefusal>(&body)) {
    OnRefusal(message, *refusal, context);
  } else if (const auto* report = std::get_if<JobReport>(&body)) {
    OnReport(from, message, *report, context);
  } else if (const auto* ack = std::get_if<JobIntentAck>(&body)) {
    if (message.view == view_) {
      OnIntentAck(from, *ack, context);
    }
  } else if (std::holds_alternative<JobSeedAck>(body)) {
    if (message.view == view_) {
      OnSeedAck(from, context);
    }
  } else if (const auto* intent = std::get_if<JobIntent>(&body);
             intent != nullptr && context.options.faults.acknowledge_deposed) {
    OnIntent(from, message, *intent, context);
  } else if (Accepts(from, message, context)) {
    if (intent != nullptr) {
      OnIntent(from, message, *intent, context);
    } else if (std::holds_alternative<JobDepose>(body)) {
      OnDepose(from, context);
    } else if (const auto* seed = std::get_if<JobSeed>(&body)) {
      OnSeed(from, *seed, context);
    } else if (std::holds_alternative<JobHandover>(body) &&
               phase_ == JobPhase::kFollowing) {
      Depose(context);
    }
  }
}

void JobReplica::OnDepose(const HostId& from, JobContext& context) {
  Send(from, Report(false, context.now), context);
}

void JobReplica::OnReport(const HostId& from,
                          const JobMessage& message,
                          const JobReport& report,
                          JobContext& context) {
  if (closed_ || message.view != view_ || phase_ == JobPhase::kFollowing) {
    return;
  }
  TakeUncertainty(report.uncertain, context);
  MergeReport(from, message.term, view_, report, context);
  if (phase_ == JobPhase::kDeposing) {
    answered_ |= Bit(from);
    any_seeded_ = any_seeded_ || report.seeded;
    CheckPromises(context);
  }
}

void JobReplica::OnRefusal(const JobMessage& message,
                           const JobRefusal& refusal,
                           JobContext& context) {
  if (refusal.closed) {
    Close(refusal.successor, context);
  } else {
    AdvanceView(message.view, context);
  }
}

void JobReplica::OnSilentPeer(const HostId& peer, JobContext& context) {
  CheckTakeOver(context);
  for (auto& [key, entry] : table_.entries()) {
    if (entry.record.state != JobState::kHeld || entry.record.owner != peer) {
      continue;
    }
    for (const JobRequest& request : entry.requests) {
      context.Reply(request, JobOutcome::kUnknown, JobReason::kHolderSilent);
    }
    entry.requests.clear();
  }
}

void JobReplica::Leave(JobContext& context) {
  if (closed_ || phase_ != JobPhase::kLeading) {
    return;
  }
  const std::vector<HostId>& members = assignment_.term.members;
  for (std::size_t step = 1; step < members.size(); ++step) {
    const HostId& next = members[(self_index_ + step) % members.size()];
    if (!context.IsSilent(next)) {
      Send(next, JobHandover{}, context);
      return;
    }
  }
}

JobReport JobReplica::Report(bool closing, Instant now) const {
  return {closing,
          seeded_,
          true,
          assignment_.previous,
          std::max(Duration(0), uncertain_until_ - now),
          table_.Copies(now)};
}

const HostId& JobReplica::Leader() const {
  const std::vector<HostId>& members = assignment_.term.members;
  return closed_ ? successor_ : members[view_ % members.size()];
}

void JobReplica::Send(const HostId& to,
                      JobMessageBody body,
                      JobContext& context) const {
  context.actions.emplace_back(SendJobMessage{
      {to, assignment_.pool, assignment_.term.number, view_, std::move(body)}});
}

void JobReplica::SendToOthers(const JobMessageBody& body,
                              std::uint32_t except,
                              JobContext& context) const {
  const std::vector<HostId>& members = assignment_.term.members;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (i != self_index_ && (except & (1U << i)) == 0) {
      Send(members[i], body, context);
    }
  }
}

void JobReplica::ScheduleResend(JobContext& context) {
  if (!resend_at_) {
    resend_at_ = context.now + context.options.resend_interval;
  }
}

std::uint32_t JobReplica::Bit(const HostId& member) const {
  return MemberBit(assignment_.term, member);
}

bool JobReplica::IsQuorumHere(std::uint32_t mask) const {
  return IsQuorum(assignment_.term.members.size(), mask);
}

}  // namespace heatherlever
