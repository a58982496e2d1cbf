#ifndef HEATHERSTEER_CRASH_SUSPECT_TABLE_H_
#define HEATHERSTEER_CRASH_SUSPECT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/crash_suspect.h"

namespace heathersteer {

/// Requests that were running when backend servers ended, as observed by this
/// host and by others. One that was running at the ends of several servers and
/// was never completed since is quarantined: it is not sent for some time, and
/// then once on trial. Holds a bounded number of requests.
class CrashSuspectTable {
 public:
  /// Records that a server ended while it ran the request. Returns whether that
  /// was not known yet.
  bool RecordCrash(std::uint64_t fingerprint,
                   std::uint64_t incarnation,
                   heatherlever::Instant now);

  /// Records that a server completed the request. Returns whether other hosts
  /// are to know.
  bool RecordCompletion(std::uint64_t fingerprint, heatherlever::Instant now);

  /// Adds the observations of other hosts. Returns whether any was not known
  /// yet.
  bool Merge(const std::vector<CrashSuspect>& suspects,
             heatherlever::Instant now);

  /// The same for a host that follows this one, for which this host reports
  /// them to others.
  bool MergeFromFollower(const std::vector<CrashSuspect>& suspects,
                         heatherlever::Instant now);

  /// Time for which the request must not be sent; 0 if it may be sent now.
  heatherlever::Duration QuarantineLeft(std::uint64_t fingerprint,
                                        heatherlever::Instant now) const;

  /// Records that the request is sent. After a quarantine it is then held back
  /// until the outcome of this trial is known.
  void RecordSend(std::uint64_t fingerprint, heatherlever::Instant now);

  /// Sequence number of the last change; 0 before the first.
  std::uint64_t sequence() const { return sequence_; }

  /// The suspects that changed after `sequence`, those with the most crashes
  /// and the newest first; a bounded number.
  std::vector<CrashSuspect> Since(std::uint64_t sequence) const;

  /// The suspects that this host or its followers observed within the last
  /// seconds, like Since().
  std::vector<CrashSuspect> Recent(heatherlever::Instant now) const;

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

  std::size_t QuarantinedCount(heatherlever::Instant now) const;

  /// Identifies one incarnation of a server.
  static std::uint64_t Incarnation(const std::string& server_id,
                                   std::int64_t started_ms);

 private:
  struct Entry {
    CrashSuspect suspect;
    std::uint64_t changed_in = 0;
    // Time of the last change to report to other hosts.
    std::optional<heatherlever::Instant> observed_at;
    heatherlever::Instant trial_until{0};
  };

  using Entries = std::map<std::uint64_t, Entry>;

  // Returns the fingerprints of the entries that changed.
  std::vector<std::uint64_t> Add(const std::vector<CrashSuspect>& suspects,
                                 heatherlever::Instant now);
  bool AddCrash(Entry& entry, const ServerCrash& crash);
  bool Clear(Entry& entry, heatherlever::Instant at);
  bool IsExplained(std::uint64_t incarnation, std::uint64_t except) const;
  void DropExplained(const CrashSuspect& culprit);
  void Trim(heatherlever::Instant now);

  Entries entries_;
  std::uint64_t sequence_ = 0;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_CRASH_SUSPECT_TABLE_H_
