#ifndef HEATHER_STANDIN_RELAY_FAULTS_H_
#define HEATHER_STANDIN_RELAY_FAULTS_H_

#include <chrono>

namespace heather_standin {

/// The way that bytes take through a relay.
enum class RelayWay { kToTarget, kFromTarget };

/// Faults of a relay that hold until they are changed.
struct RelayFaults {
  /// Added to each way.
  std::chrono::milliseconds delay{0};
  /// Connections are reset and new ones refused.
  bool cut = false;
  /// Bytes of this way are held back until the fault ends.
  bool cut_to_target = false;
  bool cut_from_target = false;

  bool IsCut(RelayWay way) const {
    return way == RelayWay::kToTarget ? cut_to_target : cut_from_target;
  }
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_RELAY_FAULTS_H_
