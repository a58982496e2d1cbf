// What a job ledger tells of its state.

#include "heatherlever/job_ledger.h"
#include "job_replica.h"

namespace heatherlever {

std::optional<Instant> JobLedger::NextWakeup() const {
  std::optional<Instant> next;
  for (const auto& [pool, replicas] : replicas_) {
    for (const auto& [term, replica] : replicas) {
      const std::optional<Instant> wakeup = replica.NextWakeup();
      if (wakeup && (!next || *wakeup < *next)) {
        next = wakeup;
      }
    }
  }
  return next;
}

std::optional<HostId> JobLedger::Leader(const std::string& pool) const {
  const auto known = assignments_.find(pool);
  if (known == assignments_.end()) {
    return std::nullopt;
  }
  const auto& [number, newest] = *known->second.rbegin();
  const auto replicas = replicas_.find(pool);
  if (replicas != replicas_.end()) {
    const auto replica = replicas->second.find(number);
    if (replica != replicas->second.end()) {
      return replica->second.Leader();
    }
  }
  return newest.term.members.front();
}

bool JobLedger::HasDispatchedJobs() const {
  for (const auto& [pool, replicas] : replicas_) {
    for (const auto& [term, replica] : replicas) {
      if (replica.HasDispatchedJobs()) {
        return true;
      }
    }
  }
  return false;
}

std::size_t JobLedger::record_count() const {
  std::size_t count = 0;
  for (const auto& [pool, replicas] : replicas_) {
    for (const auto& [term, replica] : replicas) {
      count += replica.table().entries().size();
    }
  }
  return count;
}

}  // namespace heatherlever
