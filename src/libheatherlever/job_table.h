#ifndef HEATHERLEVER_LIB_JOB_TABLE_H_
#define HEATHERLEVER_LIB_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "heatherlever/job_message.h"
#include "heatherlever/job_outcome.h"
#include "heatherlever/job_record.h"
#include "heatherlever/job_request.h"

namespace heatherlever {

/// A record and what only this replica knows of it.
struct JobEntry {
  JobRecord record;
  /// Members that recorded the intent, as bits by their index.
  std::uint32_t acknowledged = 0;
  /// Why the job is to be answered `not run` once a quorum has acknowledged;
  /// nothing if it is to be run.
  std::optional<JobReason> refusal;
  /// Requests that wait for the outcome.
  std::vector<JobRequest> requests;
};

/// The records of one replica, with an agenda of when each needs attention.
class JobTable {
 public:
  using Entries = std::map<JobKey, JobEntry>;

  /// The entry of a key; null if there is none.
  JobEntry* Find(const JobKey& key);

  /// Adds a record or replaces the one of the same key; waiting requests stay.
  JobEntry& Put(JobRecord record);

  void Erase(const JobKey& key);

  void Attach(JobEntry& entry, const JobRequest& request);

  /// Takes a copy of a record from another member unless a later attempt or
  /// the outcome is known here. What is not settled becomes `held`. Null if
  /// nothing changed.
  JobEntry* Merge(const JobRecordCopy& copy, Instant now);

  /// Copies of all records, with the times that are left.
  std::vector<JobRecordCopy> Copies(Instant now) const;

  /// Keys of which a request's deadline or the record's end has come. Each is
  /// named once for each such instant.
  std::set<JobKey> TakeDue(Instant now);

  /// The next instant at which TakeDue returns a key.
  std::optional<Instant> NextDue() const;

  const Entries& entries() const { return entries_; }
  Entries& entries() { return entries_; }

 private:
  Entries entries_;
  std::set<std::pair<Instant, JobKey>> agenda_;
};

/// The copy of a record that messages carry.
JobRecordCopy CopyRecord(const JobRecord& record, Instant now);

/// Whether the outcome of the record's attempt is known.
bool IsSettled(JobState state);

}  // namespace heatherlever

#endif  // HEATHERLEVER_LIB_JOB_TABLE_H_
