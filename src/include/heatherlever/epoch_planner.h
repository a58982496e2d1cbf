#ifndef HEATHERLEVER_EPOCH_PLANNER_H_
#define HEATHERLEVER_EPOCH_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/epoch_record.h"
#include "heatherlever/instant.h"

namespace heatherlever {

struct DeploymentSpec;

/// What an epoch is made from.
struct EpochInput {
  const DeploymentSpec* spec = nullptr;
  std::int64_t config_version = 0;
  /// The platform's list, leaving hosts among them.
  std::vector<HostRecord> hosts;
};

/// Decides when the membership epoch has to be replaced, and by what. It holds
/// no right to write: whoever uses it holds the planner's lease.
class EpochPlanner {
 public:
  /// A host has to be missing from the list for `missing_time` before it
  /// leaves the membership, so that a short gap of the list changes nothing.
  explicit EpochPlanner(Duration missing_time);

  /// The record to write in place of `current`; nothing if `current` holds.
  std::optional<EpochRecord> Plan(const std::optional<EpochRecord>& current,
                                  const EpochInput& input,
                                  Instant now);

  /// Forgets which hosts were missing, as after a time without the lease.
  void Reset() { missing_.clear(); }

 private:
  std::vector<HostRecord> Members(const std::optional<EpochRecord>& current,
                                  const std::vector<HostRecord>& hosts,
                                  Instant now);

  Duration missing_time_;
  // Members that the list does not show, with the instant of the first miss.
  std::map<std::string, Instant> missing_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_EPOCH_PLANNER_H_
