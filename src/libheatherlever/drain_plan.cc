#include "heatherlever/drain_plan.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "heatherlever/deployment_spec.h"
#include "heatherlever/effective_labels.h"
#include "heatherlever/selector.h"

namespace heatherlever {
namespace {

// Indexes of the selected backend servers. An unknown region has no labels.
std::vector<bool> SelectBackends(const DeploymentSpec& spec,
                                 const Selector& selector) {
  std::vector<bool> selected;
  selected.reserve(spec.backends.size());
  for (const BackendSpec& backend : spec.backends) {
    const auto region = std::find_if(
        spec.regions.begin(), spec.regions.end(),
        [&](const RegionSpec& r) { return r.name == backend.region; });
    const Labels labels = EffectiveLabels(
        backend, region == spec.regions.end() ? RegionSpec() : *region);
    selected.push_back(selector.Matches(labels));
  }
  return selected;
}

absl::Status WithDrain(const DrainSpec& drain, std::string_view message) {
  std::string text = "drain '" + drain.name + "': ";
  text.append(message);
  return absl::InvalidArgumentError(text);
}

}  // namespace

absl::StatusOr<DrainPlan> DrainPlan::Create(const DeploymentSpec& spec,
                                            Duration accepted) {
  DrainPlan plan;
  for (const BackendSpec& backend : spec.backends) {
    const auto pool = std::find_if(
        plan.pools_.begin(), plan.pools_.end(), [&](const PoolDrain& p) {
          return p.service == backend.service && p.region == backend.region;
        });
    plan.backends_.push_back(
        {static_cast<std::size_t>(pool - plan.pools_.begin()), backend.slots});
    if (pool == plan.pools_.end()) {
      plan.pools_.push_back({backend.service, backend.region});
    }
  }
  for (const DrainSpec& drain : spec.drains) {
    const auto selector = Selector::Parse(drain.select);
    if (!selector.ok()) {
      const auto message = selector.status().message();
      return WithDrain(drain, {message.data(), message.size()});
    }
    std::vector<bool> selected = SelectBackends(spec, *selector);
    if (std::find(selected.begin(), selected.end(), true) == selected.end()) {
      return WithDrain(drain,
                       "'" + drain.select + "' selects no backend server");
    }
    const Duration start = drain.start_unix_s == 0
                               ? accepted
                               : std::chrono::seconds(drain.start_unix_s);
    std::vector<double> stop_shares = plan.StopShares(selected);
    plan.drains_.push_back(
        {start, drain.ramp, std::move(selected), std::move(stop_shares)});
  }
  return plan;
}

double DrainPlan::Share(std::size_t backend, Duration unix_time) const {
  double share = 0;
  for (const Drain& drain : drains_) {
    if (drain.backends[backend]) {
      share = std::max(share, ShareOf(drain, unix_time));
    }
  }
  return share;
}

bool DrainPlan::IsDraining(std::size_t backend, Duration unix_time) const {
  return std::any_of(drains_.begin(), drains_.end(), [&](const Drain& drain) {
    return drain.backends[backend] && unix_time >= drain.start;
  });
}

bool DrainPlan::TakesNewWork(std::size_t backend, Duration unix_time) const {
  return std::none_of(drains_.begin(), drains_.end(), [&](const Drain& drain) {
    return drain.backends[backend] &&
           ShareOf(drain, unix_time) >= drain.stop_shares[backend];
  });
}

std::vector<PoolDrain> DrainPlan::Pools(Duration unix_time) const {
  std::vector<PoolDrain> pools = pools_;
  std::vector<double> slots(pools.size(), 0);
  for (PoolDrain& pool : pools) {
    pool.share = 1;
  }
  for (std::size_t i = 0; i < backends_.size(); ++i) {
    const Backend& backend = backends_[i];
    const double share = Share(i, unix_time);
    slots[backend.pool] += backend.slots * (1 - share);
    pools[backend.pool].share = std::min(pools[backend.pool].share, share);
  }
  for (std::size_t i = 0; i < pools.size(); ++i) {
    pools[i].remaining_slots = static_cast<int>(slots[i]);
  }
  return pools;
}

Duration DrainPlan::UntilNextStart(Duration unix_time) const {
  Duration next = Duration::max();
  for (const Drain& drain : drains_) {
    if (drain.start > unix_time) {
      next = std::min(next, drain.start - unix_time);
    }
  }
  return next;
}

std::vector<double> DrainPlan::StopShares(
    const std::vector<bool>& selected) const {
  std::vector<int> counts(pools_.size(), 0);
  for (std::size_t i = 0; i < selected.size(); ++i) {
    counts[backends_[i].pool] += selected[i] ? 1 : 0;
  }
  std::vector<int> stopped(pools_.size(), 0);
  std::vector<double> shares(selected.size(), 0);
  for (std::size_t i = 0; i < selected.size(); ++i) {
    const std::size_t pool = backends_[i].pool;
    if (selected[i]) {
      shares[i] = static_cast<double>(++stopped[pool]) / counts[pool];
    }
  }
  return shares;
}

double DrainPlan::ShareOf(const Drain& drain, Duration unix_time) {
  if (unix_time < drain.start) {
    return 0;
  }
  if (drain.ramp <= Duration(0)) {
    return 1;
  }
  const double progress =
      static_cast<double>((unix_time - drain.start).count()) /
      static_cast<double>(drain.ramp.count());
  return std::min(progress, 1.0);
}

}  // namespace heatherlever
