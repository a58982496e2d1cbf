#ifndef HEATHERLEVER_DRAIN_PLAN_H_
#define HEATHERLEVER_DRAIN_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "heatherlever/instant.h"
#include "heatherlever/pool_drain.h"

namespace heatherlever {

struct DeploymentSpec;

/// The announced drains of a configuration. Times are times since the Unix
/// epoch, as operators announce drains by the calendar.
class DrainPlan {
 public:
  /// Drains without a start time start at `accepted`, the time at which the
  /// configuration was accepted. Returns InvalidArgument, naming the drain, for
  /// a selector that cannot be parsed or selects no backend server.
  static absl::StatusOr<DrainPlan> Create(const DeploymentSpec& spec,
                                          Duration accepted);

  /// Share of its usual work that a backend server is no longer to get, from 0
  /// before its drain to 1 after the ramp. Servers are named by their index in
  /// the configuration.
  double Share(std::size_t backend, Duration unix_time) const;

  /// Whether a drain of the server has started.
  bool IsDraining(std::size_t backend, Duration unix_time) const;

  /// Whether a server may get new work. Over a ramp the selected servers of a
  /// pool stop one after another, in the order of the configuration, as their
  /// traffic is moved away; the last stops at the end of the ramp.
  bool TakesNewWork(std::size_t backend, Duration unix_time) const;

  /// Every pool of the configuration, drained or not, for
  /// Placement::SetDrainShare.
  std::vector<PoolDrain> Pools(Duration unix_time) const;

  /// Time until the next drain starts; Duration::max() if none is to come.
  Duration UntilNextStart(Duration unix_time) const;

 private:
  struct Drain {
    Duration start{0};
    Duration ramp{0};
    std::vector<bool> backends;
    // By backend server: the share of the drain at which it stops.
    std::vector<double> stop_shares;
  };

  struct Backend {
    std::size_t pool = 0;
    int slots = 0;
  };

  std::vector<double> StopShares(const std::vector<bool>& selected) const;
  static double ShareOf(const Drain& drain, Duration unix_time);

  std::vector<Drain> drains_;
  std::vector<Backend> backends_;
  // With shares of 0.
  std::vector<PoolDrain> pools_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_DRAIN_PLAN_H_
