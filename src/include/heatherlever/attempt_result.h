#ifndef HEATHERLEVER_ATTEMPT_RESULT_H_
#define HEATHERLEVER_ATTEMPT_RESULT_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace heatherlever {

/// How one attempt at a backend server ended.
enum class AttemptResult {
  /// The complete response was received.
  kOk,
  /// The server refused the request and did not run it.
  kShed,
  /// Nothing of the request was sent, for example because no connection could
  /// be opened.
  kNotSent,
  /// The connection broke after part of the request was sent: the server may
  /// still run it.
  kFailed,
  /// The server responded with a failure: it no longer runs the request.
  kError,
  /// No response was received in time: the server may still run the request.
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

/// The result with this name; nullopt if there is none.
std::optional<AttemptResult> AttemptResultFromName(std::string_view name);

/// Whether the server certainly did not run the request.
constexpr bool CertainlyNotRun(AttemptResult result) {
  return result == AttemptResult::kShed || result == AttemptResult::kNotSent ||
         result == AttemptResult::kCancelled;
}

/// Whether the server may still run the request, so that its slot stays taken.
constexpr bool MayStillRun(AttemptResult result) {
  return result == AttemptResult::kFailed || result == AttemptResult::kTimeout;
}

}  // namespace heatherlever

#endif  // HEATHERLEVER_ATTEMPT_RESULT_H_
