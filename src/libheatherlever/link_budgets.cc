#include "link_budgets.h"

#include "heatherlever/deployment_spec.h"
#include "heatherlever/placement_options.h"

namespace heatherlever {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;

bool Connects(const LinkSpec& link,
              const std::string& a,
              const std::string& b) {
  return (link.from == a && link.to == b) || (link.from == b && link.to == a);
}

}  // namespace

LinkBudgets::LinkBudgets(const DeploymentSpec& spec,
                         std::size_t local_region,
                         const PlacementOptions& options)
    : local_region_(local_region), links_(spec.regions.size()) {
  const std::string& local = spec.regions[local_region].name;
  for (std::size_t region = 0; region < links_.size(); ++region) {
    for (const LinkSpec& link : spec.links) {
      if (region == local_region ||
          !Connects(link, local, spec.regions[region].name)) {
        continue;
      }
      const RateBudget budget(
          link.capacity_mbit_s * kBytesPerMegabit * link.max_share,
          options.max_hosts, options.link_depth);
      links_[region] = Link{link.delay, budget, budget};
    }
  }
}

std::optional<Duration> LinkBudgets::Delay(std::size_t region) const {
  if (region == local_region_) {
    return Duration(0);
  }
  if (!links_[region]) {
    return std::nullopt;
  }
  return links_[region]->delay;
}

bool LinkBudgets::CanSpend(std::size_t region,
                           double sent_bytes,
                           double received_bytes,
                           Instant now) const {
  if (region == local_region_) {
    return true;
  }
  const auto& link = links_[region];
  return link && link->sending.CanSpend(sent_bytes, now) &&
         link->receiving.CanSpend(received_bytes, now);
}

void LinkBudgets::Charge(std::size_t region,
                         double sent_bytes,
                         double received_bytes,
                         Instant now) {
  auto& link = links_[region];
  if (link) {
    link->sending.Charge(sent_bytes, now);
    link->receiving.Charge(received_bytes, now);
  }
}

void LinkBudgets::Adopt(std::size_t region,
                        const LinkBudgets& previous,
                        std::size_t previous_region) {
  auto& link = links_[region];
  const auto& old = previous.links_[previous_region];
  if (link && old && link->sending.rate() == old->sending.rate()) {
    link->sending = old->sending;
    link->receiving = old->receiving;
  }
}

}  // namespace heatherlever
