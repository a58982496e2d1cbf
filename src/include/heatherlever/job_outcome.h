#ifndef HEATHERLEVER_JOB_OUTCOME_H_
#define HEATHERLEVER_JOB_OUTCOME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace heatherlever {

/// What is known of a job when its request is answered.
enum class JobOutcome : std::uint8_t { kDone, kNotRun, kUnknown };

inline constexpr std::array<std::string_view, 3> kJobOutcomeNames = {
    "done", "not-run", "unknown"};

constexpr std::string_view JobOutcomeName(JobOutcome outcome) {
  return kJobOutcomeNames[static_cast<std::size_t>(outcome)];
}

/// Why a job's request was answered as it was.
enum class JobReason : std::uint8_t {
  /// The backend server's result, or the queue's.
  kSettled,
  /// The key was used before with another request: this one was not run.
  kKeyReused,
  /// The ledger has no room for another key.
  kLedgerFull,
  /// The request's deadline passed.
  kDeadline,
  /// No quorum acknowledged the intent before the deadline.
  kNoQuorum,
  /// The host that may have run the job does not answer.
  kHolderSilent,
  /// Records of an earlier term are lost: the key may have been run before.
  kRecordsLost,
  /// This host knows no home for the pool.
  kNoHome,
};

inline constexpr std::array<std::string_view, 8> kJobReasonNames = {
    "settled",   "key-reused",    "ledger-full",  "deadline",
    "no-quorum", "holder-silent", "records-lost", "no-home"};

constexpr std::string_view JobReasonName(JobReason reason) {
  return kJobReasonNames[static_cast<std::size_t>(reason)];
}

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_OUTCOME_H_
