#include "heather-entry/steering.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "heather-entry/active_config.h"
#include "heather-entry/directory.h"
#include "heather-entry/pool_set.h"
#include "heatherlever/headroom_report.h"
#include "heatherlever/placement_decision.h"
#include "heatherlever/placement_explanation.h"
#include "heatherlever/placement_options.h"
#include "heatherlever/placement_request.h"
#include "heatherlever/pool_drain.h"
#include "heathernet/event_loop.h"
#include "heathernet/log.h"

namespace heather_entry {

using heatherlever::Duration;
using heatherlever::Placement;
using heatherlever::PlacementOutcome;
using heatherlever::RegionSpec;
using heathernet::EventLoop;
using heathernet::PartLogger;

namespace {

// Drains are announced by the calendar.
Duration UnixTime() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
}

heatherlever::PlacementRequest ToPlacement(const WorkRequest& request,
                                           std::size_t kind) {
  heatherlever::PlacementRequest placement;
  placement.kind = kind;
  placement.client_address = request.client_address;
  placement.request_bytes = static_cast<std::uint32_t>(request.body.size());
  return placement;
}

// Index of the region of a name; nothing if there is none.
std::optional<std::size_t> RegionIndex(const ActiveConfig& config,
                                       const std::string& name) {
  const auto& regions = config.spec.regions;
  const auto found = std::find_if(
      regions.begin(), regions.end(),
      [&name](const RegionSpec& region) { return region.name == name; });
  if (found == regions.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - regions.begin());
}

}  // namespace

Steering::Steering(std::string region, Directory& directory, PoolSet& pools)
    : region_(std::move(region)), directory_(directory), pools_(pools) {}

bool Steering::InstallConfig(
    const std::shared_ptr<const ActiveConfig>& config) {
  auto placement = Placement::Create(config->spec, region_, config->blocks,
                                     heatherlever::PlacementOptions());
  auto drains = heatherlever::DrainPlan::Create(config->spec, UnixTime());
  if (!placement.ok() || !drains.ok()) {
    const absl::Status& status =
        placement.ok() ? drains.status() : placement.status();
    PartLogger("config")->error("version {} is not usable here: {}",
                                config->version, std::string(status.message()));
    return false;
  }
  if (placement_) {
    placement->Adopt(*placement_, EventLoop::Now());
  }
  placement_ = *std::move(placement);
  drains_ = *std::move(drains);
  config_ = config;
  draining_.clear();
  pools_.Configure(*config_, draining_);
  Refresh();
  return true;
}

PlacedWork Steering::Place(const WorkRequest& request) {
  PlacedWork placed;
  const auto kind = config_->KindIndex(request.kind);
  if (!kind) {
    placed.refused = true;
    placed.refusal = NotRun("kind-removed");
    return placed;
  }
  const auto decision =
      placement_->Decide(ToPlacement(request, *kind), EventLoop::Now());
  if (decision.outcome == PlacementOutcome::kRefused) {
    placed.refused = true;
    placed.refusal = NotRun(std::string(PlacementReasonName(decision.reason)),
                            decision.retry_after);
    return placed;
  }
  placed.pool = {config_->spec.kinds[*kind].service,
                 placement_->region_name(decision.region)};
  placed.on_done = [](const WorkAnswer&) {};
  if (decision.outcome == PlacementOutcome::kMoved) {
    placed.on_done = [this, kind_name = request.kind,
                      region = placed.pool.region](const WorkAnswer& answer) {
      OnDone(kind_name, region, answer);
    };
  }
  return placed;
}

// The configuration may have changed since the request was placed, so that
// only names are certain to mean the same.
void Steering::OnDone(const std::string& kind,
                      const std::string& region,
                      const WorkAnswer& answer) {
  const auto kind_index = config_->KindIndex(kind);
  const auto region_index = RegionIndex(*config_, region);
  if (!kind_index || !region_index) {
    return;
  }
  placement_->OnMoveDone(*kind_index, *region_index);
  placement_->ChargeLink(*region_index, 0,
                         static_cast<double>(answer.body.size()),
                         EventLoop::Now());
}

void Steering::OnMembers(const std::string& self) {
  const auto& members = directory_.epoch().members;
  const auto own = std::find_if(members.begin(), members.end(),
                                [&self](const heatherlever::HostRecord& host) {
                                  return host.name == self;
                                });
  // A host that is no member yet sends nothing to other regions' pools.
  if (placement_ && own != members.end()) {
    placement_->SetHeadroomSenders(static_cast<int>(members.size()),
                                   static_cast<int>(own - members.begin()));
  }
  Refresh();
}

void Steering::OnHeadroom(const PoolName& pool,
                          const heatherlever::HeadroomReport& report) {
  if (placement_) {
    placement_->OnSummary(pool.service, pool.region, report, EventLoop::Now());
  }
}

void Steering::Refresh() {
  if (!config_) {
    return;
  }
  for (const RegionSpec& region : config_->spec.regions) {
    placement_->SetRegionDead(region.name, RegionDead(region.name));
  }
  RefreshDrains();
}

void Steering::RefreshDrains() {
  const Duration now = UnixTime();
  for (const heatherlever::PoolDrain& pool : drains_->Pools(now)) {
    placement_->SetDrainShare(pool.service, pool.region, pool.share);
  }
  std::set<std::string> draining;
  for (std::size_t i = 0; i < config_->spec.backends.size(); ++i) {
    if (!drains_->TakesNewWork(i, now)) {
      draining.insert(config_->spec.backends[i].name);
    }
  }
  if (draining != draining_) {
    draining_ = std::move(draining);
    pools_.Configure(*config_, draining_);
  }
}

bool Steering::RegionDead(const std::string& region) const {
  // Without an epoch nothing is known of any region.
  if (directory_.epoch().number == 0) {
    return false;
  }
  const int members = directory_.MemberCount(region);
  return members == 0 ||
         directory_.SilentCount(region, EventLoop::Now()) == members;
}

std::vector<std::string> Steering::Explain(const std::string& kind,
                                           std::uint32_t client_address) const {
  const auto index = config_ ? config_->KindIndex(kind) : std::nullopt;
  if (!index) {
    return {"no kind of work is named '" + kind + "'"};
  }
  heatherlever::PlacementRequest request;
  request.kind = *index;
  request.client_address = client_address;
  return placement_->Explain(request, EventLoop::Now()).Lines();
}

}  // namespace heather_entry
