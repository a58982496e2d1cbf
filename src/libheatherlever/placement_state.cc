#include "placement_state.h"

#include <algorithm>
#include <utility>

#include "heatherlever/deployment_spec.h"

namespace heatherlever {
namespace {

std::optional<std::size_t> IndexOf(const std::vector<std::string>& names,
                                   std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - names.begin());
}

}  // namespace

Placement::State::State(const DeploymentSpec& spec,
                        std::size_t local_region,
                        RuleTable rules,
                        std::shared_ptr<const BlockTable> blocks,
                        const PlacementOptions& options)
    : options_(options),
      local_region_(local_region),
      rules_(std::move(rules)),
      blocks_(std::move(blocks)),
      links_(spec, local_region, options),
      dead_(spec.regions.size(), false) {
  for (const RegionSpec& region : spec.regions) {
    regions_.push_back(region.name);
  }
  for (std::size_t kind = 0; kind < spec.kinds.size(); ++kind) {
    const KindSpec& kind_spec = spec.kinds[kind];
    kinds_.push_back(kind_spec.name);
    if (!IndexOf(services_, kind_spec.service)) {
      services_.push_back(kind_spec.service);
    }
    service_of_kind_.push_back(*IndexOf(services_, kind_spec.service));
    const auto rule = rules_.RuleOf(kind);
    rule_of_kind_.push_back(rule ? spec.rules[*rule].name : "");
    flows_.insert(flows_.end(), regions_.size(),
                  Flow{ShiftCap(rules_.MaxShift(kind), options.cap_window),
                       LeavingShare(options.return_ramp)});
  }
  pools_.resize(services_.size() * regions_.size());
}

PlacementDecision Placement::State::Decide(const PlacementRequest& request,
                                           Instant now) {
  const std::size_t home = HomeOf(request.client_address);
  const Leaving leaving = LeavingTarget(request.kind, home);
  LeavingShare& share = FlowOf(request.kind, home).leaving;
  share.SetTarget(leaving.share, now);
  const bool leaves = share.CountNext(now);
  const PlacementDecision decision =
      Choose(request, home, leaves, leaving, now);
  Count(request, decision, now);
  return decision;
}

// The strongest of what drives traffic out of a home region.
Placement::State::Leaving Placement::State::LeavingTarget(
    std::size_t kind,
    std::size_t home) const {
  if (dead_[home]) {
    return {1, PlacementReason::kHomeDead};
  }
  if (!rules_.AllowsRegion(kind, home)) {
    return {1, PlacementReason::kHomeNotSelected};
  }
  const Pool& pool = PoolOf(kind, home);
  if (pool.drain_share > 0 && pool.drain_share >= pool.spill.share()) {
    return {pool.drain_share, PlacementReason::kHomeDraining};
  }
  if (pool.spill.share() > 0) {
    return {pool.spill.share(), PlacementReason::kHomeFull};
  }
  return {};
}

PlacementDecision Placement::State::Choose(const PlacementRequest& request,
                                           std::size_t home,
                                           bool leaves,
                                           const Leaving& leaving,
                                           Instant now) const {
  if (!leaves) {
    return {PlacementOutcome::kHome, home, home, PlacementReason::kHomeServes};
  }
  std::optional<Candidate> best;
  PlacementReason failure = PlacementReason::kNotSelected;
  for (std::size_t region = 0; region < regions_.size(); ++region) {
    if (region == home) {
      continue;
    }
    const Candidate candidate = Assess(request, region, now);
    if (candidate.reason != PlacementReason::kChosen) {
      failure = std::max(failure, candidate.reason);
      continue;
    }
    // Nearest first; among regions as near, the emptier one.
    if (!best || std::pair(candidate.delay, -candidate.available) <
                     std::pair(best->delay, -best->available)) {
      best = candidate;
    }
  }
  if (!best) {
    return StayOrRefuse(request.kind, home, failure);
  }
  const Flow& flow = FlowOf(request.kind, home);
  if (!flow.cap.MayMove(now)) {
    return StayOrRefuse(request.kind, home, PlacementReason::kCapReached);
  }
  const bool returning = flow.leaving.IsReturning(now);
  return {PlacementOutcome::kMoved, home, best->region,
          returning ? PlacementReason::kReturningHome : leaving.reason};
}

PlacementDecision Placement::State::StayOrRefuse(std::size_t kind,
                                                 std::size_t home,
                                                 PlacementReason reason) const {
  if (HomeServes(kind, home)) {
    return {PlacementOutcome::kHome, home, home, reason};
  }
  return {PlacementOutcome::kRefused, home, home, reason, options_.retry_after};
}

Placement::State::Candidate Placement::State::Assess(
    const PlacementRequest& request,
    std::size_t region,
    Instant now) const {
  Candidate candidate;
  candidate.region = region;
  candidate.delay = links_.Delay(region).value_or(Duration::max());
  candidate.available =
      PoolOf(request.kind, region).headroom.Available(options_, now);
  candidate.reason = ReasonAgainst(request, candidate, now);
  return candidate;
}

PlacementReason Placement::State::ReasonAgainst(const PlacementRequest& request,
                                                const Candidate& candidate,
                                                Instant now) const {
  const std::size_t region = candidate.region;
  const Pool& pool = PoolOf(request.kind, region);
  if (!rules_.AllowsRegion(request.kind, region)) {
    return PlacementReason::kNotSelected;
  }
  if (dead_[region]) {
    return PlacementReason::kDead;
  }
  if (pool.drain_share > 0) {
    return PlacementReason::kDraining;
  }
  if (!pool.headroom.HasSummary(options_, now)) {
    return PlacementReason::kNoSummary;
  }
  if (candidate.available == 0) {
    return PlacementReason::kNoHeadroom;
  }
  if (!links_.CanSpend(region, request.request_bytes, request.answer_bytes,
                       now)) {
    return PlacementReason::kLinkBudget;
  }
  return PlacementReason::kChosen;
}

bool Placement::State::HomeServes(std::size_t kind, std::size_t home) const {
  return !dead_[home] && rules_.AllowsRegion(kind, home) &&
         PoolOf(kind, home).drain_share < 1;
}

void Placement::State::Count(const PlacementRequest& request,
                             const PlacementDecision& decision,
                             Instant now) {
  Flow& flow = FlowOf(request.kind, decision.home);
  if (decision.outcome == PlacementOutcome::kMoved) {
    flow.cap.TryMove(now);
    PoolOf(request.kind, decision.region).headroom.OnMoved(options_, now);
  } else {
    flow.cap.CountUnmoved(now);
  }
  if (decision.outcome != PlacementOutcome::kRefused) {
    links_.Charge(decision.region, request.request_bytes, request.answer_bytes,
                  now);
  }
}

void Placement::State::OnMoveDone(std::size_t kind, std::size_t region) {
  PoolOf(kind, region).headroom.OnMoveDone();
}

void Placement::State::ChargeLink(std::size_t region,
                                  double sent,
                                  double received,
                                  Instant now) {
  links_.Charge(region, sent, received, now);
}

void Placement::State::OnSummary(std::string_view service,
                                 std::string_view region,
                                 const HeadroomReport& summary,
                                 Instant now) {
  if (Pool* pool = FindPool(service, region)) {
    pool->headroom.OnSummary(summary, now);
    pool->spill.OnSummary(summary, now);
  }
}

void Placement::State::SetRegionDead(std::string_view region, bool dead) {
  if (const auto index = FindRegion(region)) {
    dead_[*index] = dead;
  }
}

void Placement::State::SetDrainShare(std::string_view service,
                                     std::string_view region,
                                     double share) {
  if (Pool* pool = FindPool(service, region)) {
    pool->drain_share = std::clamp(share, 0.0, 1.0);
  }
}

void Placement::State::SetHeadroomSenders(int senders, int index) {
  options_.headroom_senders = senders;
  options_.headroom_sender_index = index;
}

void Placement::State::Adopt(const State& previous, Instant now) {
  SetHeadroomSenders(previous.options_.headroom_senders,
                     previous.options_.headroom_sender_index);
  for (std::size_t region = 0; region < regions_.size(); ++region) {
    if (const auto old_region = previous.FindRegion(regions_[region])) {
      dead_[region] = previous.dead_[*old_region];
      links_.Adopt(region, previous.links_, *old_region);
      AdoptPools(region, previous, *old_region);
      AdoptFlows(region, previous, *old_region, now);
    }
  }
}

void Placement::State::AdoptPools(std::size_t region,
                                  const State& previous,
                                  std::size_t old_region) {
  for (std::size_t service = 0; service < services_.size(); ++service) {
    if (const auto old = IndexOf(previous.services_, services_[service])) {
      pools_[service * regions_.size() + region] =
          previous.pools_[*old * previous.regions_.size() + old_region];
    }
  }
}

void Placement::State::AdoptFlows(std::size_t region,
                                  const State& previous,
                                  std::size_t old_region,
                                  Instant now) {
  for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
    const auto old = IndexOf(previous.kinds_, kinds_[kind]);
    if (!old) {
      continue;
    }
    Flow& flow = FlowOf(kind, region);
    const double share = flow.cap.share();
    flow = previous.FlowOf(*old, old_region);
    if (flow.cap.share() != share) {
      flow.cap.ChangeShare(share, now);
    }
  }
}

const std::string& Placement::State::region_name(std::size_t region) const {
  return regions_[region];
}

std::size_t Placement::State::HomeOf(std::uint32_t client_address) const {
  return blocks_->Find(client_address).value_or(local_region_);
}

Placement::State::Pool& Placement::State::PoolOf(std::size_t kind,
                                                 std::size_t region) {
  return pools_[service_of_kind_[kind] * regions_.size() + region];
}

const Placement::State::Pool& Placement::State::PoolOf(
    std::size_t kind,
    std::size_t region) const {
  return pools_[service_of_kind_[kind] * regions_.size() + region];
}

Placement::State::Flow& Placement::State::FlowOf(std::size_t kind,
                                                 std::size_t home) {
  return flows_[kind * regions_.size() + home];
}

const Placement::State::Flow& Placement::State::FlowOf(std::size_t kind,
                                                       std::size_t home) const {
  return flows_[kind * regions_.size() + home];
}

Placement::State::Pool* Placement::State::FindPool(std::string_view service,
                                                   std::string_view region) {
  const auto service_index = IndexOf(services_, service);
  const auto region_index = FindRegion(region);
  if (!service_index || !region_index) {
    return nullptr;
  }
  return &pools_[*service_index * regions_.size() + *region_index];
}

std::optional<std::size_t> Placement::State::FindRegion(
    std::string_view name) const {
  return IndexOf(regions_, name);
}

}  // namespace heatherlever
