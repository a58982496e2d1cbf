#ifndef HEATHERLEVER_LEASE_RECORD_H_
#define HEATHERLEVER_LEASE_RECORD_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace heatherlever {

/// A lease as the platform's table keeps it.
struct LeaseRecord {
  /// Name and incarnation of the holder; empty if the lease was released.
  std::string holder;
  /// One more at each change of holder.
  std::int64_t generation = 0;
  /// Differs between any two writes of one holder.
  std::int64_t write_number = 0;

  bool operator==(const LeaseRecord&) const = default;

  /// The record as JSON.
  std::string Encode() const;

  /// InvalidArgument for text that Encode does not produce.
  static absl::StatusOr<LeaseRecord> Parse(const std::string& text);
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LEASE_RECORD_H_
