#ifndef HEATHERLEVER_JOB_KEY_H_
#define HEATHERLEVER_JOB_KEY_H_

#include <compare>
#include <string>

namespace heatherlever {

/// Identity of a non-idempotent job: the caller's Idempotency-Key within a kind
/// of work.
struct JobKey {
  std::string kind;
  std::string key;

  auto operator<=>(const JobKey&) const = default;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_KEY_H_
