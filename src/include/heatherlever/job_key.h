#ifndef HEATHERLEVER_JOB_KEY_H_
#define HEATHERLEVER_JOB_KEY_H_

#include <string>
#include <tuple>

namespace heatherlever {

/// Identity of a non-idempotent job: the caller's Idempotency-Key within a kind
/// of work.
struct JobKey {
  std::string kind;
  std::string key;

  bool operator==(const JobKey&) const = default;

  friend bool operator<(const JobKey& left, const JobKey& right) {
    return std::tie(left.kind, left.key) < std::tie(right.kind, right.key);
  }
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_KEY_H_
