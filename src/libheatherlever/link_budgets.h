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

/// One host's share of the bandwidth of the links between its region and the
/// others. Every host gets the same share of each link and direction: requests
/// of hosts at one end and responses to hosts at the other use the same
/// direction.
class LinkBudgets {
 public:
  LinkBudgets(const DeploymentSpec& spec,
              std::size_t local_region,
              const PlacementOptions& options);

  /// One-way delay to a region; 0 for the local region, nullopt without a link.
  std::optional<Duration> Delay(std::size_t region) const;

  /// Whether the budget allows these bytes to be sent to and received from a
  /// region.
  bool CanSpend(std::size_t region,
                double sent_bytes,
                double received_bytes,
                Instant now) const;

  /// Charges bytes, whether or not the budget allows them.
  void Charge(std::size_t region,
              double sent_bytes,
              double received_bytes,
              Instant now);

  /// Takes over the state of the budgets for one region if the rate is the
  /// same.
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
