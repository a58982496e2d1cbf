#ifndef HEATHERLEVER_EPOCH_RECORD_H_
#define HEATHERLEVER_EPOCH_RECORD_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

#include "heatherlever/host_record.h"

namespace heatherlever {

/// A membership epoch as the platform's table keeps it at `epoch/current`.
struct EpochRecord {
  /// 1 for the first epoch, one more for each later one.
  std::int64_t number = 0;
  /// Configuration version that maps client blocks to home regions.
  std::int64_t config_version = 0;
  /// Members by name; none is leaving.
  std::vector<HostRecord> members;

  bool operator==(const EpochRecord&) const = default;

  /// The record as JSON.
  std::string Encode() const;

  /// InvalidArgument for text that Encode does not produce.
  static absl::StatusOr<EpochRecord> Parse(const std::string& text);
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_EPOCH_RECORD_H_
