#include "heatherlever/job_ledger.h"

#include <algorithm>
#include <utility>

#include "job_context.h"
#include "job_replica.h"

namespace heatherlever {

JobLedger::JobLedger(JobLedgerOptions options) : options_(std::move(options)) {}
JobLedger::JobLedger(const JobLedger& other) = default;
JobLedger& JobLedger::operator=(const JobLedger& other) = default;
JobLedger::JobLedger(JobLedger&&) noexcept = default;
JobLedger& JobLedger::operator=(JobLedger&&) noexcept = default;
JobLedger::~JobLedger() = default;

bool JobLedger::InstallEpoch(const JobEpoch& epoch, Instant now) {
  if (epoch.number <= epoch_) {
    return false;
  }
  epoch_ = epoch.number;
  for (const PoolAssignment& pool : epoch.pools) {
    InstallPool(pool, now);
  }
  DeliverToSelf(now);
  return true;
}

void JobLedger::InstallPool(const PoolAssignment& pool, Instant now) {
  std::map<std::uint64_t, PoolAssignment>& known = assignments_[pool.pool];
  const std::uint64_t number = pool.term.number;
  if (!known.empty() && known.rbegin()->first >= number) {
    return;
  }
  known.emplace(number, pool);
  for (const HostId& member : pool.term.members) {
    NoteIncarnation(member);
  }
  JobContext context = Context(now);
  for (auto& [term, replica] : replicas_[pool.pool]) {
    replica.Close(pool.term.members.front(), context);
  }
  const std::optional<std::size_t> index = MemberIndex(pool.term);
  if (!index) {
    return;
  }
  std::map<std::uint64_t, PoolTerm> older;
  for (const auto& [term, assignment] : known) {
    older[term] = assignment.previous;
  }
  JobReplica replica(pool, *index, std::move(older));
  if (closed_terms_[pool.pool] >= number) {
    replica.Close(pool.term.members.front(), context);
  }
  auto& installed = replicas_[pool.pool];
  installed.emplace(number, std::move(replica)).first->second.Start(context);
}

void JobLedger::Submit(const JobRequest& request, Instant now) {
  Take(request, false, now);
}

void JobLedger::SubmitAtBuddy(const JobRequest& request, Instant now) {
  Take(request, true, now);
}

void JobLedger::Take(const JobRequest& request, bool depose, Instant now) {
  JobContext context = Context(now);
  const auto known = assignments_.find(request.pool);
  if (known == assignments_.end()) {
    context.Reply(request, JobOutcome::kUnknown, JobReason::kNoHome);
    return;
  }
  JobReplica* replica = NewestReplica(request.pool);
  if (replica == nullptr) {
    const PoolAssignment& newest = known->second.rbegin()->second;
    context.Redirect(request, newest.term.members.front());
    return;
  }
  replica->Take(request, depose, context);
  DeliverToSelf(now);
}

void JobLedger::OnMessage(const HostId& from,
                          const JobMessage& message,
                          Instant now) {
  if (!IsSelf(message.to)) {
    return;
  }
  unreachable_.erase(from);
  NoteIncarnation(from);
  Deliver(from, message, now);
  DeliverToSelf(now);
}

void JobLedger::Deliver(const HostId& from,
                        const JobMessage& message,
                        Instant now) {
  if (std::holds_alternative<JobClose>(message.body)) {
    OnClose(from, message, now);
    return;
  }
  if (std::holds_alternative<JobReport>(message.body)) {
    OnReport(from, message, now);
    return;
  }
  JobContext context = Context(now);
  if (const auto* result = std::get_if<JobResult>(&message.body)) {
    const auto replicas = replicas_.find(message.pool);
    if (replicas != replicas_.end()) {
      for (auto& [term, replica] : replicas->second) {
        replica.OnResult(result->copy, context);
      }
    }
    return;
  }
  JobReplica* replica = Replica(message.pool, message.term);
  if (replica != nullptr) {
    replica->OnMessage(from, message, context);
  }
}

void JobLedger::OnClose(const HostId& from,
                        const JobMessage& message,
                        Instant now) {
  JobContext context = Context(now);
  std::uint64_t& closed = closed_terms_[message.pool];
  closed = std::max(closed, message.term);
  const auto replicas = replicas_.find(message.pool);
  if (replicas != replicas_.end()) {
    for (auto& [term, replica] : replicas->second) {
      if (term <= message.term) {
        replica.Close(from, context);
      }
    }
  }
  JobReport report;
  report.closing = true;
  if (const JobReplica* replica = Replica(message.pool, message.term)) {
    report = replica->Report(true, now);
  } else if (const PoolAssignment* known =
                 Assignment(message.pool, message.term)) {
    report.previous_known = true;
    report.previous = known->previous;
  }
  actions_.emplace_back(SendJobMessage{
      {from, message.pool, message.term, message.view, std::move(report)}});
}

void JobLedger::OnReport(const HostId& from,
                         const JobMessage& message,
                         Instant now) {
  JobContext context = Context(now);
  const auto& report = std::get<JobReport>(message.body);
  if (!report.closing) {
    JobReplica* replica = Replica(message.pool, message.term);
    if (replica != nullptr) {
      replica->OnMessage(from, message, context);
    }
    return;
  }
  JobReplica* replica = NewestReplica(message.pool);
  if (replica != nullptr) {
    replica->OnCloseReport(from, message.term, report, context);
  }
}

// A leader may be a member of the term that it closes.
void JobLedger::DeliverToSelf(Instant now) {
  const auto is_to_self = [this](const JobAction& action) {
    const auto* send = std::get_if<SendJobMessage>(&action);
    return send != nullptr && send->message.to == options_.self;
  };
  for (;;) {
    const auto found =
        std::find_if(actions_.begin(), actions_.end(), is_to_self);
    if (found == actions_.end()) {
      return;
    }
    const JobMessage message = std::get<SendJobMessage>(*found).message;
    actions_.erase(found);
    Deliver(options_.self, message, now);
  }
}

void JobLedger::OnPeerUnreachable(const HostId& peer, Instant now) {
  unreachable_.insert(peer);
  JobContext context = Context(now);
  ForEachReplica(
      [&](JobReplica& replica) { replica.OnSilentPeer(peer, context); });
  DeliverToSelf(now);
}

void JobLedger::OnPeerGone(const HostId& peer, Instant now) {
  gone_.insert(peer);
  OnPeerUnreachable(peer, now);
}

bool JobLedger::Dispatch(const std::string& pool,
                         const JobKey& key,
                         const JobAttempt& attempt,
                         Instant now) {
  JobContext context = Context(now);
  JobReplica* replica = Replica(pool, attempt.term);
  return replica != nullptr && replica->Dispatch(key, attempt, context);
}

void JobLedger::Settle(const std::string& pool,
                       const JobKey& key,
                       const JobAttempt& attempt,
                       JobOutcome outcome,
                       const std::string& answer,
                       Instant now) {
  JobContext context = Context(now);
  JobReplica* replica = Replica(pool, attempt.term);
  if (replica == nullptr) {
    return;
  }
  const std::optional<JobRecordCopy> result =
      replica->Settle(key, attempt, outcome, answer, context);
  if (result) {
    TellLaterTerms(replica->assignment(), *result, context);
  }
  DeliverToSelf(now);
}

// A job that outlives its term is known to the later one's members as held.
void JobLedger::TellLaterTerms(const PoolAssignment& own,
                               const JobRecordCopy& result,
                               JobContext& context) {
  const PoolAssignment& newest = assignments_[own.pool].rbegin()->second;
  if (newest.term.number == own.term.number) {
    return;
  }
  for (auto& [term, replica] : replicas_[own.pool]) {
    if (term != own.term.number) {
      replica.OnResult(result, context);
    }
  }
  for (const HostId& member : newest.term.members) {
    if (member != options_.self) {
      actions_.emplace_back(SendJobMessage{
          {member, own.pool, newest.term.number, 0, JobResult{result}}});
    }
  }
}

void JobLedger::Leave(Instant now) {
  JobContext context = Context(now);
  ForEachReplica([&](JobReplica& replica) { replica.Leave(context); });
}

void JobLedger::Tick(Instant now) {
  JobContext context = Context(now);
  ForEachReplica([&](JobReplica& replica) { replica.Tick(context); });
  ForgetClosedReplicas();
  DeliverToSelf(now);
}

std::vector<JobAction> JobLedger::TakeActions() {
  return std::exchange(actions_, {});
}

// The replica of the newest term known; null if this host is no member of it.
JobReplica* JobLedger::NewestReplica(const std::string& pool) {
  const auto known = assignments_.find(pool);
  return known == assignments_.end()
             ? nullptr
             : Replica(pool, known->second.rbegin()->first);
}

JobReplica* JobLedger::Replica(const std::string& pool, std::uint64_t term) {
  const auto replicas = replicas_.find(pool);
  if (replicas == replicas_.end()) {
    return nullptr;
  }
  const auto found = replicas->second.find(term);
  return found == replicas->second.end() ? nullptr : &found->second;
}

const PoolAssignment* JobLedger::Assignment(const std::string& pool,
                                            std::uint64_t term) const {
  const auto known = assignments_.find(pool);
  if (known == assignments_.end()) {
    return nullptr;
  }
  const auto found = known->second.find(term);
  return found == known->second.end() ? nullptr : &found->second;
}

void JobLedger::NoteIncarnation(const HostId& host) {
  std::uint64_t& highest = incarnations_[host.name];
  highest = std::max(highest, host.incarnation);
}

void JobLedger::ForgetClosedReplicas() {
  for (auto& [pool, replicas] : replicas_) {
    if (replicas.empty()) {
      continue;
    }
    const std::uint64_t newest = assignments_[pool].rbegin()->first;
    std::erase_if(replicas, [newest](const auto& item) {
      return item.first != newest && item.second.table().entries().empty();
    });
  }
}

bool JobLedger::IsSelf(const HostId& host) const {
  if (options_.faults.serve_after_restart) {
    return host.name == options_.self.name;
  }
  return host == options_.self;
}

std::optional<std::size_t> JobLedger::MemberIndex(const PoolTerm& term) const {
  for (std::size_t i = 0; i < term.members.size(); ++i) {
    if (IsSelf(term.members[i])) {
      return i;
    }
  }
  return std::nullopt;
}

template <typename Visit>
void JobLedger::ForEachReplica(const Visit& visit) {
  for (auto& [pool, replicas] : replicas_) {
    for (auto& [term, replica] : replicas) {
      visit(replica);
    }
  }
}

JobContext JobLedger::Context(Instant now) {
  return {options_,       unreachable_, gone_, incarnations_,
          record_count(), actions_,     now};
}

}  // namespace heatherlever
