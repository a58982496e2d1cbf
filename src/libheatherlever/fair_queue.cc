#include "fair_queue.h"

#include <algorithm>

namespace heatherlever {

void FairQueue::Push(const std::string& caller, JobId job) {
  const auto [found, added] = callers_.try_emplace(caller);
  if (added) {
    ScheduleCaller(*found);
  }
  found->second.jobs.insert(job);
  ++size_;
}

bool FairQueue::Remove(const std::string& caller, JobId job) {
  const auto found = callers_.find(caller);
  if (found == callers_.end() || found->second.jobs.count(job) == 0) {
    return false;
  }
  EraseJob(*found, job);
  return true;
}

std::optional<JobId> FairQueue::Pop(bool newest_first) {
  if (schedule_.empty()) {
    return std::nullopt;
  }
  const auto first = schedule_.begin();
  Callers::value_type& caller = *first->second;
  current_round_ = first->first.first;
  const std::set<JobId>& jobs = caller.second.jobs;
  const JobId job = newest_first ? *jobs.rbegin() : *jobs.begin();
  schedule_.erase(first);
  ScheduleCaller(caller);
  EraseJob(caller, job);
  return job;
}

std::optional<JobId> FairQueue::Newest() const {
  std::optional<JobId> newest;
  for (const auto& [name, caller] : callers_) {
    newest = std::max(newest.value_or(0), *caller.jobs.rbegin());
  }
  return newest;
}

std::size_t FairQueue::Backlog(const std::string& caller) const {
  const auto found = callers_.find(caller);
  return found == callers_.end() ? 0 : found->second.jobs.size();
}

void FairQueue::ScheduleCaller(Callers::value_type& caller) {
  caller.second.round = current_round_ + 1;
  caller.second.sequence = ++next_sequence_;
  schedule_[{caller.second.round, caller.second.sequence}] = &caller;
}

void FairQueue::EraseJob(Callers::value_type& caller, JobId job) {
  caller.second.jobs.erase(job);
  --size_;
  if (caller.second.jobs.empty()) {
    schedule_.erase({caller.second.round, caller.second.sequence});
    callers_.erase(std::string(caller.first));
  }
}

}  // namespace heatherlever
