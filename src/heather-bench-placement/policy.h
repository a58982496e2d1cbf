#ifndef HEATHER_BENCH_PLACEMENT_POLICY_H_
#define HEATHER_BENCH_PLACEMENT_POLICY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/headroom_report.h"
#include "heatherlever/instant.h"

namespace heather_bench_placement {

/// How one entry host chooses the region of each request.
class Policy {
 public:
  virtual ~Policy() = default;

  /// The region for a request of a home region; nothing to refuse it.
  virtual std::optional<std::size_t> Place(std::size_t home,
                                           heatherlever::Instant now) = 0;
  virtual void OnMoveDone(std::size_t /*region*/) {}
  virtual void OnReport(std::size_t /*region*/,
                        const heatherlever::HeadroomReport& /*report*/,
                        heatherlever::Instant /*now*/) {}
  virtual void SetDead(std::size_t /*region*/, bool /*dead*/) {}
  virtual void SetDrainShare(std::size_t /*region*/, double /*share*/) {}
  /// Requests that found no headroom since the last call.
  virtual int TakeWanted() { return 0; }
};

/// A policy by its name.
struct PolicyEntry {
  std::string name;
  /// Whether the owners divide headroom among the hosts.
  bool lends = false;
  /// Makes the policy of one host.
  std::function<std::unique_ptr<Policy>(std::size_t host)> make;
};

/// Ours with lent and with equal headroom, always home, a random region, and
/// spill without a cap.
std::vector<PolicyEntry> AllPolicies();

}  // namespace heather_bench_placement

#endif  // HEATHER_BENCH_PLACEMENT_POLICY_H_
