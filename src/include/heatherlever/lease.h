#ifndef HEATHERLEVER_LEASE_H_
#define HEATHERLEVER_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "heatherlever/instant.h"
#include "heatherlever/lease_record.h"

namespace heatherlever {

/// Times of a lease; every candidate uses the same ones.
struct LeaseSettings {
  /// Name and incarnation of this candidate; not empty.
  std::string self;
  /// How long a write holds the lease.
  Duration duration = std::chrono::seconds(10);
  /// Age of the last write at which the holder renews.
  Duration renew_after = std::chrono::seconds(3);
  /// How much earlier than `duration` the holder stops, for clocks that run at
  /// different rates.
  Duration drift_margin = std::chrono::milliseconds(100);
};

/// A write of the lease's row, to be made by compare-and-swap.
struct LeaseWrite {
  LeaseRecord record;
  /// Version that the row is expected to have; 0 if there is no row.
  std::int64_t expected_version = 0;

  bool operator==(const LeaseWrite&) const = default;
};

/// Proof of holding a lease. A use of the lease has to be refused where the
/// row is no longer at `row_version`.
struct LeaseToken {
  std::int64_t generation = 0;
  std::int64_t row_version = 0;

  bool operator==(const LeaseToken&) const = default;
};

/// One candidate's side of a lease that is kept as a row of the platform's
/// table. Instants come from a monotonic clock that counts suspension.
///
/// The holder counts a lease from before its write was sent. Another candidate
/// takes over when it has seen the same row for the whole duration by its own
/// clock, or when the row shows that the lease was released.
class Lease {
 public:
  explicit Lease(const LeaseSettings& settings);

  /// A read of the row was answered at `now`. `record` is nothing if there is
  /// no row.
  void Observed(const std::optional<LeaseRecord>& record,
                std::int64_t row_version,
                Instant now);

  /// The write that is due, which the caller sends right after `now`: a
  /// renewal, or a take-over of a free or lapsed lease. Nothing if none is.
  std::optional<LeaseWrite> NextWrite(Instant now);

  /// The write that gives the lease up; nothing if it is not held. The lease
  /// is not held any more from this call on.
  std::optional<LeaseWrite> Release(Instant now);

  /// The last write took effect and made this version of the row.
  void Written(std::int64_t row_version);

  /// The last write met another version. Nothing is known of the row until the
  /// next Observed.
  void Conflicted();

  /// The last write may or may not have taken effect; the next Observed shows.
  void Unsettled();

  bool Holds(Instant now) const { return Token(now).has_value(); }

  /// The token to use the lease with; nothing while it is not held.
  std::optional<LeaseToken> Token(Instant now) const;

  /// Record last seen or written; nothing if there is no row or it is unknown.
  const std::optional<LeaseRecord>& record() const { return record_; }

  /// The whole state, as JSON.
  std::string Dump() const;

 private:
  struct PendingWrite {
    LeaseRecord record;
    Instant sent_at;
  };

  LeaseWrite Send(const LeaseRecord& record, Instant now);
  bool IsOwn() const;
  bool MayTakeOver(Instant now) const;
  void Confirm(Instant sent_at);

  LeaseSettings settings_;
  bool row_known_ = false;
  std::optional<LeaseRecord> record_;
  std::int64_t row_version_ = 0;
  /// When this version of the row was first seen.
  Instant first_seen_{0};
  std::optional<PendingWrite> pending_;
  /// When the write that holds the lease was sent.
  std::optional<Instant> held_from_;
  std::int64_t write_number_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LEASE_H_
