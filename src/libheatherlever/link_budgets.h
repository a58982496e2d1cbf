#ifndef HEATHERLEVER_LINK_BUDGETS_H_
#define HEATHERLEVER_LINK_BUDGETS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/rate_budget.h"

namespace heatherlever {

struct DeploymentSpec;
struct PlacementOptions;

/// One host's parts of the links between its region and the others. Every host
/// gets the same part of each link and direction: requests of hosts at one end
/// and answers to hosts at the other share a direction.
class LinkBudgets {
 public:
  LinkBudgets(const DeploymentSpec& spec,
              std::size_t local_region,
              const PlacementOptions& options);

  /// One-way delay to a region; 0 to the own one, nothing without a link.
  std::optional<Duration> Delay(std::size_t region) const;

  /// Whether the budget lets these bytes go to a region and come back.
  bool CanSpend(std::size_t region,
                double sent_bytes,
                double received_bytes,
                Instant now) const;

  /// Charges bytes, whether or not the budget has them.
  void Charge(std::size_t region,
              double sent_bytes,
              double received_bytes,
              Instant now);

  /// Takes over the state of the budgets towards one region where the rate is
  /// the same.
  void Adopt(std::size_t region,
             const LinkBudgets& previous,
             std::size_t previous_region);

 private:
  struct Link {
    Duration delay{0};
    RateBudget sending;
    RateBudget receiving;
  };

  std::size_t local_region_;
  std::vector<std::optional<Link>> links_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LINK_BUDGETS_H_
