#ifndef HEATHERLEVER_REQUEST_OUTCOME_H_
#define HEATHERLEVER_REQUEST_OUTCOME_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace heatherlever {

/// What is known about a request when it ends.
enum class RequestOutcome {
  /// A backend server responded.
  kDone,
  /// It was certainly not run.
  kNotRun,
  /// It may have been run, completely or in part.
  kUnknown,
};

/// Names of the outcomes, indexed by RequestOutcome.
inline constexpr std::array<std::string_view, 3> kRequestOutcomeNames = {
    "done", "not-run", "unknown"};

/// Name of an outcome.
constexpr std::string_view RequestOutcomeName(RequestOutcome outcome) {
  return kRequestOutcomeNames[static_cast<std::size_t>(outcome)];
}

}  // namespace heatherlever

#endif  // HEATHERLEVER_REQUEST_OUTCOME_H_
