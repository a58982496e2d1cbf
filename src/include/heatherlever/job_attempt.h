#ifndef HEATHERLEVER_JOB_ATTEMPT_H_
#define HEATHERLEVER_JOB_ATTEMPT_H_

#include <cstdint>
#include <tuple>

namespace heatherlever {

/// Identity of one attempt to run a job; unique in a pool. A later attempt of
/// the same key compares greater.
struct JobAttempt {
  std::uint64_t term = 0;
  std::uint64_t view = 0;
  std::uint64_t sequence = 0;

  bool operator==(const JobAttempt&) const = default;

  friend bool operator<(const JobAttempt& left, const JobAttempt& right) {
    return std::tie(left.term, left.view, left.sequence) <
           std::tie(right.term, right.view, right.sequence);
  }
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_ATTEMPT_H_
