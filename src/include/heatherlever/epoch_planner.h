#ifndef HEATHERLEVER_EPOCH_PLANNER_H_
#define HEATHERLEVER_EPOCH_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/epoch_record.h"
#include "heatherlever/host_record.h"
#include "heatherlever/instant.h"

namespace heatherlever {

/// Decides when the membership epoch has to change. Every host and the
/// configuration version are judged on their own: a difference between the
/// list of hosts and the epoch counts once it has lasted for `hysteresis`.
class EpochPlanner {
 public:
  /// With `hysteresis` 0 every difference counts at once.
  explicit EpochPlanner(Duration hysteresis);

  /// The next epoch to write; nothing if the present one stands. `current` is
  /// nothing if no epoch was written yet: the first one takes every host at
  /// once. Never returns an epoch without members. Instants do not decrease
  /// from call to call.
  std::optional<EpochRecord> Decide(Instant now,
                                    const std::optional<EpochRecord>& current,
                                    const std::vector<HostRecord>& hosts,
                                    std::int64_t config_version);

  /// Forgets every difference seen so far, as after a time without the lease.
  void Reset();

 private:
  /// What the list wants for one host; nothing: that it is no member.
  using Wanted = std::optional<HostRecord>;

  struct Difference {
    Wanted wanted;
    Instant since;
  };

  bool HasLasted(Instant since, Instant now) const;
  std::map<std::string, Wanted> Changes(
      const std::map<std::string, HostRecord>& members,
      const std::vector<HostRecord>& hosts) const;
  void Track(const std::map<std::string, Wanted>& changes, Instant now);

  Duration hysteresis_;
  std::map<std::string, Difference> differences_;
  std::optional<Instant> config_differs_since_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_EPOCH_PLANNER_H_
