// The state of a job ledger as text, for the state dump and for checks that
// compare states.

#include <sstream>

#include "heatherlever/job_ledger.h"
#include "job_replica.h"

namespace heatherlever {
namespace {

std::ostream& operator<<(std::ostream& out, const HostId& host) {
  return out << host.name << "#" << host.incarnation;
}

std::ostream& operator<<(std::ostream& out, const JobAttempt& attempt) {
  return out << attempt.term << "/" << attempt.view << "/" << attempt.sequence;
}

void DumpEntry(const JobEntry& entry, Instant now, std::ostream& out) {
  const JobRecord& record = entry.record;
  out << "    " << record.key.kind << " " << record.key.key << " "
      << JobStateName(record.state) << " attempt=" << record.attempt
      << " owner=" << record.owner << " acks=" << entry.acknowledged
      << " deadline_us=" << (record.deadline - now).count()
      << " forget_us=" << (record.forget_at - now).count();
  if (entry.refusal) {
    out << " refusal=" << JobReasonName(*entry.refusal);
  }
  for (const JobRequest& request : entry.requests) {
    out << " request=" << request.id;
  }
  out << "\n";
}

}  // namespace

std::string JobReplica::Dump(Instant now) const {
  std::ostringstream out;
  out << "  term=" << assignment_.term.number << " view=" << view_
      << " phase=" << kJobPhaseNames[static_cast<std::size_t>(phase_)]
      << " closed=" << closed_ << " seeded=" << seeded_
      << " answered=" << answered_ << " sequence=" << last_sequence_
      << " resend=" << resend_at_.has_value();
  if (phase_ == JobPhase::kDeposing || phase_ == JobPhase::kTakingOver) {
    out << " any_seeded=" << any_seeded_ << " target=" << target_.number;
  }
  if (closed_) {
    out << " successor=" << successor_;
  }
  if (IsUncertain(now)) {
    out << " uncertain_us=" << (uncertain_until_ - now).count();
  }
  for (const auto& [reporter, view] : reported_) {
    out << " reported=" << reporter.first << "," << reporter.second << ","
        << view;
  }
  for (const JobRequest& request : waiting_) {
    out << " waiting=" << request.id;
  }
  out << "\n";
  for (const auto& [key, entry] : table_.entries()) {
    DumpEntry(entry, now, out);
  }
  return out.str();
}

std::string JobLedger::Dump(Instant now) const {
  std::ostringstream out;
  out << "jobs host=" << options_.self << " epoch=" << epoch_
      << " records=" << record_count();
  for (const HostId& host : unreachable_) {
    out << " unreachable=" << host;
  }
  for (const HostId& host : gone_) {
    out << " gone=" << host;
  }
  out << "\n";
  for (const auto& [pool, known] : assignments_) {
    const auto closed = closed_terms_.find(pool);
    out << "pool " << pool << " term=" << known.rbegin()->first
        << " closed=" << (closed == closed_terms_.end() ? 0 : closed->second)
        << " members=";
    for (const HostId& member : known.rbegin()->second.term.members) {
      out << member << ",";
    }
    out << "\n";
    const auto replicas = replicas_.find(pool);
    if (replicas == replicas_.end()) {
      continue;
    }
    for (const auto& [term, replica] : replicas->second) {
      out << replica.Dump(now);
    }
  }
  return out.str();
}

}  // namespace heatherlever
