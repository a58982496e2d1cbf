#ifndef HEATHERLEVER_ATTEMPT_RESULT_H_
#define HEATHERLEVER_ATTEMPT_RESULT_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace heatherlever {

/// How one attempt at a backend server ended.
enum class AttemptResult {
  /// The whole answer came.
  kOk,
  /// The server refused the request and did not run it.
  kShed,
  /// Nothing of the request was sent, for example as no connection was to be
  /// had.
  kNotSent,
  /// The connection broke after something was sent: the server may still run
  /// it.
  kFailed,
  /// The server answered that it failed: it runs it no more.
  kError,
  /// No answer came in time: the server may still run it.
  kTimeout,
  /// The server confirmed that it cancelled the request before any effect.
  kCancelled,
};

/// Names of the results, indexed by AttemptResult.
inline constexpr std::array<std::string_view, 7> kAttemptResultNames = {
    "ok", "shed", "not-sent", "failed", "error", "timeout", "cancelled"};

/// Name of a result.
constexpr std::string_view AttemptResultName(AttemptResult result) {
  return kAttemptResultNames[static_cast<std::size_t>(result)];
}

/// The result of a name; nothing if no result has that name.
std::optional<AttemptResult> AttemptResultFromName(std::string_view name);

/// Whether the server certainly did not run the request.
constexpr bool CertainlyNotRun(AttemptResult result) {
  return result == AttemptResult::kShed || result == AttemptResult::kNotSent ||
         result == AttemptResult::kCancelled;
}

/// Whether the server may still run the request, so that its slot is taken.
constexpr bool MayStillRun(AttemptResult result) {
  return result == AttemptResult::kFailed || result == AttemptResult::kTimeout;
}

}  // namespace heatherlever

#endif  // HEATHERLEVER_ATTEMPT_RESULT_H_
