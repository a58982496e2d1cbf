#include "heatherlever/placement.h"

#include <algorithm>
#include <utility>

#include "heatherlever/deployment_spec.h"
#include "placement_state.h"

namespace heatherlever {

absl::StatusOr<Placement> Placement::Create(
    const DeploymentSpec& spec,
    std::string_view local_region,
    std::shared_ptr<const BlockTable> blocks,
    const PlacementOptions& options) {
  auto rules = RuleTable::Create(spec);
  if (!rules.ok()) {
    return rules.status();
  }
  const auto region =
      std::find_if(spec.regions.begin(), spec.regions.end(),
                   [&](const RegionSpec& r) { return r.name == local_region; });
  if (region == spec.regions.end()) {
    return absl::InvalidArgumentError("placement: no region is named '" +
                                      std::string(local_region) + "'");
  }
  const auto index = static_cast<std::size_t>(region - spec.regions.begin());
  return Placement(std::make_unique<State>(spec, index, *std::move(rules),
                                           std::move(blocks), options));
}

Placement::Placement(std::unique_ptr<State> state) : state_(std::move(state)) {}
Placement::Placement(Placement&&) noexcept = default;
Placement& Placement::operator=(Placement&&) noexcept = default;
Placement::~Placement() = default;

PlacementDecision Placement::Decide(const PlacementRequest& request,
                                    Instant now) {
  return state_->Decide(request, now);
}

PlacementExplanation Placement::Explain(const PlacementRequest& request,
                                        Instant now) const {
  return state_->Explain(request, now);
}

void Placement::OnMoveDone(std::size_t kind, std::size_t region) {
  state_->OnMoveDone(kind, region);
}

void Placement::ChargeLink(std::size_t region,
                           double sent_bytes,
                           double received_bytes,
                           Instant now) {
  state_->ChargeLink(region, sent_bytes, received_bytes, now);
}

void Placement::OnSummary(std::string_view service,
                          std::string_view region,
                          const HeadroomReport& summary,
                          Instant now) {
  state_->OnSummary(service, region, summary, now);
}

void Placement::SetRegionDead(std::string_view region, bool dead) {
  state_->SetRegionDead(region, dead);
}

void Placement::SetDrainShare(std::string_view service,
                              std::string_view region,
                              double share) {
  state_->SetDrainShare(service, region, share);
}

void Placement::SetHeadroomSenders(int senders, int index) {
  state_->SetHeadroomSenders(senders, index);
}

void Placement::Adopt(const Placement& previous, Instant now) {
  state_->Adopt(*previous.state_, now);
}

const std::string& Placement::region_name(std::size_t region) const {
  return state_->region_name(region);
}

std::size_t Placement::HomeOf(std::uint32_t client_address) const {
  return state_->HomeOf(client_address);
}

}  // namespace heatherlever
