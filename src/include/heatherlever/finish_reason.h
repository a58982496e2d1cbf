#ifndef HEATHERLEVER_FINISH_REASON_H_
#define HEATHERLEVER_FINISH_REASON_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace heatherlever {

/// Why a request ended.
enum class FinishReason {
  /// A backend server responded.
  kAnswered,
  /// Refused on arrival: it could not have finished by its deadline.
  kTooLate,
  /// Refused on arrival, or displaced by more urgent work: the queue is full.
  kQueueFull,
  /// Its deadline passed.
  kDeadline,
  /// Its caller cancelled it.
  kCancelled,
  /// Every attempt that was allowed was shed or not sent.
  kNoServer,
  /// An attempt broke or failed, and no further attempt was allowed.
  kFailed,
};

/// Names of the reasons, indexed by FinishReason.
inline constexpr std::array<std::string_view, 7> kFinishReasonNames = {
    "answered",  "too-late",  "queue-full", "deadline",
    "cancelled", "no-server", "failed"};

/// Name of a reason.
constexpr std::string_view FinishReasonName(FinishReason reason) {
  return kFinishReasonNames[static_cast<std::size_t>(reason)];
}

}  // namespace heatherlever

#endif  // HEATHERLEVER_FINISH_REASON_H_
