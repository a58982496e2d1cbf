#ifndef HEATHERLEVER_FAIR_QUEUE_H_
#define HEATHERLEVER_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace heatherlever {

/// Identifies a job of a pool; later jobs have higher numbers.
using JobId = std::uint64_t;

/// Queued jobs, served round robin by caller.
class FairQueue {
 public:
  /// The caller's jobs are ordered by number, whatever the order of the calls.
  void Push(const std::string& caller, JobId job);

  /// Returns false if the job is not in the queue.
  bool Remove(const std::string& caller, JobId job);

  /// Takes the next caller's oldest job, or its newest one.
  std::optional<JobId> Pop(bool newest_first);

  /// The job that arrived last; nothing if empty.
  std::optional<JobId> Newest() const;

  std::size_t size() const { return size_; }
  std::size_t caller_count() const { return callers_.size(); }
  /// Jobs of one caller.
  std::size_t Backlog(const std::string& caller) const;

 private:
  struct Caller {
    std::set<JobId> jobs;
    std::uint64_t round = 0;
    std::uint64_t sequence = 0;
  };
  using Callers = std::unordered_map<std::string, Caller>;
  // Callers by round, then in the order in which they were scheduled.
  using Schedule =
      std::map<std::pair<std::uint64_t, std::uint64_t>, Callers::value_type*>;

  void ScheduleCaller(Callers::value_type& caller);
  void EraseJob(Callers::value_type& caller, JobId job);

  Callers callers_;
  Schedule schedule_;
  std::uint64_t current_round_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::size_t size_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_FAIR_QUEUE_H_
