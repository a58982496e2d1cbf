#ifndef HEATHERNET_WRITE_RESULT_H_
#define HEATHERNET_WRITE_RESULT_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace heathernet {

/// How a conditional write ended.
enum class WriteStatus {
  /// It took effect, exactly once.
  kWritten,
  /// It did not take effect and will not: the key was at another version.
  kConflict,
  /// Not settled before the deadline: it may or may not have taken effect.
  kUnavailable,
};

/// Names of the write statuses, indexed by WriteStatus.
inline constexpr std::array<std::string_view, 3> kWriteStatusNames = {
    "written", "conflict", "unavailable"};

/// Outcome of a conditional write.
struct WriteResult {
  WriteStatus status = WriteStatus::kUnavailable;
  /// The key's version after the write; only with kWritten.
  std::int64_t version = 0;
};

}  // namespace heathernet

#endif  // HEATHERNET_WRITE_RESULT_H_
