#include "job_table.h"

namespace heatherlever {

JobEntry* JobTable::Find(const JobKey& key) {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

JobEntry& JobTable::Put(JobRecord record) {
  agenda_.emplace(record.forget_at, record.key);
  JobEntry& entry = entries_[record.key];
  entry.record = std::move(record);
  entry.acknowledged = 0;
  entry.refusal.reset();
  return entry;
}

void JobTable::Erase(const JobKey& key) {
  entries_.erase(key);
}

void JobTable::Attach(JobEntry& entry, const JobRequest& request) {
  agenda_.emplace(request.deadline, entry.record.key);
  entry.requests.push_back(request);
}

JobEntry* JobTable::Merge(const JobRecordCopy& copy, Instant now) {
  JobRecord record = copy.record;
  record.deadline = now + copy.until_deadline;
  record.forget_at = now + copy.until_forgotten;
  if (!IsSettled(record.state)) {
    record.state = JobState::kHeld;
  }
  const JobEntry* mine = Find(record.key);
  if (mine == nullptr || mine->record.attempt < record.attempt) {
    return &Put(std::move(record));
  }
  const bool news = mine->record.attempt == record.attempt &&
                    !IsSettled(mine->record.state) && IsSettled(record.state);
  return news ? &Put(std::move(record)) : nullptr;
}

std::vector<JobRecordCopy> JobTable::Copies(Instant now) const {
  std::vector<JobRecordCopy> copies;
  copies.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    copies.push_back(CopyRecord(entry.record, now));
  }
  return copies;
}

std::set<JobKey> JobTable::TakeDue(Instant now) {
  std::set<JobKey> due;
  while (!agenda_.empty() && agenda_.begin()->first <= now) {
    due.insert(agenda_.begin()->second);
    agenda_.erase(agenda_.begin());
  }
  return due;
}

std::optional<Instant> JobTable::NextDue() const {
  if (agenda_.empty()) {
    return std::nullopt;
  }
  return agenda_.begin()->first;
}

JobRecordCopy CopyRecord(const JobRecord& record, Instant now) {
  return {record, record.deadline - now, record.forget_at - now};
}

bool IsSettled(JobState state) {
  return state == JobState::kDone || state == JobState::kUnknown;
}

}  // namespace heatherlever
