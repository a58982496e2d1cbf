#ifndef HEATHER_ENTRY_DIRECTORY_H_
#define HEATHER_ENTRY_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "heather-entry/pool_name.h"
#include "heatherlever/epoch_record.h"
#include "heatherlever/instant.h"

namespace heather_entry {

/// Who the other entry hosts are: the members of the epoch in force, and which
/// of them are silent. Used on the loop thread.
class Directory {
 public:
  /// Replaces the epoch; a lower number is ignored.
  void InstallEpoch(const heatherlever::EpochRecord& epoch);

  /// The epoch in force; number 0 before the first.
  const heatherlever::EpochRecord& epoch() const { return epoch_; }

  /// The member of a name; nothing if there is none.
  std::optional<heatherlever::HostRecord> Find(const std::string& name) const;

  /// Like Find, but also knows the members of earlier epochs, who may still be
  /// asked for the records of their jobs.
  std::optional<heatherlever::HostRecord> FindEver(
      const std::string& name) const;

  /// The region that acts for a home region.
  std::string ActingRegion(const std::string& home) const;

  /// Members that may own a pool, in the order to ask them: those of its
  /// region by rendezvous order, silent ones last. Members of all regions if
  /// its own has none.
  std::vector<heatherlever::HostRecord> Owners(const PoolName& pool,
                                               heatherlever::Instant now) const;

  /// A member did not answer: for a while it is asked last.
  void ReportSilent(const std::string& name, heatherlever::Instant now);

  /// A member announced that it stops: it is asked last from now on.
  void ReportLeaving(const std::string& name);

  /// Whether the membership takes a member for down.
  void SetDown(const std::string& name, bool down);

  /// A member was heard from.
  void ReportHeard(const std::string& name);

  /// Whether a member is silent, down or leaving.
  bool IsSilent(const std::string& name, heatherlever::Instant now) const;

  /// Members that are silent, of a region; of all for an empty name.
  int SilentCount(const std::string& region, heatherlever::Instant now) const;

  /// Members of the epoch that are not silent.
  int HeardCount(heatherlever::Instant now) const;

  /// Members of a region.
  int MemberCount(const std::string& region) const;

 private:
  heatherlever::EpochRecord epoch_;
  // Every member of this and earlier epochs, by name.
  std::map<std::string, heatherlever::HostRecord> known_;
  std::map<std::string, heatherlever::Instant> silent_until_;
  std::set<std::string> down_;
  // Incarnations of the members that announced their leave.
  std::map<std::string, std::uint64_t> leaving_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_DIRECTORY_H_
