#include "backend_ledger.h"

#include <algorithm>

namespace heatherlever {
namespace {

// Responses between two computations of the pool's median latency.
constexpr int kResponsesPerMedian = 16;

bool Contains(const std::vector<BackendIndex>& list, BackendIndex index) {
  return std::find(list.begin(), list.end(), index) != list.end();
}

// Positive if `left` is the better choice of two servers with a free slot,
// negative if `right` is. Load reports only decide between servers with equally
// many free slots.
int Compare(const BackendState& left, const BackendState& right) {
  if (left.free() != right.free()) {
    return left.free() - right.free();
  }
  if (left.report.healthy != right.report.healthy) {
    return left.report.healthy ? 1 : -1;
  }
  return 0;
}

}  // namespace

BackendLedger::BackendLedger(const PoolOptions& options, std::uint64_t seed)
    : options_(options), random_(seed) {}

void BackendLedger::Update(const std::vector<BackendSpec>& specs,
                           const std::set<std::string>& draining,
                           Instant now) {
  std::set<std::string> listed;
  for (const BackendSpec& spec : specs) {
    listed.insert(spec.name);
    bool added = false;
    BackendState& state = FindOrAdd(spec, &added);
    const bool drains = draining.count(spec.name) != 0;
    const bool returns = !state.listed || (state.draining && !drains);
    state.listed = true;
    state.draining = drains;
    state.slots = spec.slots;
    state.limit.SetSlots(spec.slots);
    if (returns || (added && updated_before_)) {
      state.limit.Restart(options_.cold_share, now);
    }
  }
  for (BackendState& state : states_) {
    state.listed = listed.count(state.name) != 0;
  }
  updated_before_ = true;
}

void BackendLedger::Adopt(const std::vector<BackendReport>& reports,
                          Duration hold,
                          Instant now) {
  // Requests of a previous owner that was killed may fill a server for which
  // there is no report.
  for (BackendState& state : states_) {
    state.inherited_in_flight = state.slots;
    state.inherited_until = now + hold;
    state.limit.Restart(options_.adopted_share, now);
  }
  for (const BackendReport& report : reports) {
    const auto found = by_name_.find(report.backend);
    if (found == by_name_.end()) {
      continue;
    }
    BackendState& state = states_[found->second];
    state.inherited_in_flight = std::clamp(report.in_flight, 0, state.slots);
    state.report = report;
  }
}

void BackendLedger::Report(const BackendReport& report) {
  const auto found = by_name_.find(report.backend);
  if (found != by_name_.end()) {
    states_[found->second].report = report;
  }
}

std::optional<BackendIndex> BackendLedger::Pick(
    const std::vector<BackendIndex>& excluded,
    bool idempotent) {
  std::optional<BackendIndex> best;
  std::uint64_t ties = 1;
  for (BackendIndex i = 0; i < states_.size(); ++i) {
    if (states_[i].free() == 0 || !states_[i].Accepts(idempotent) ||
        Contains(excluded, i)) {
      continue;
    }
    const int order = best ? Compare(states_[i], states_[*best]) : 1;
    ties = order > 0 ? 1 : ties + (order == 0 ? 1 : 0);
    if (order > 0 || (order == 0 && random_() % ties == 0)) {
      best = i;
    }
  }
  return best;
}

bool BackendLedger::HasAlternative(
    const std::vector<BackendIndex>& excluded) const {
  for (BackendIndex i = 0; i < states_.size(); ++i) {
    if (states_[i].listed && !states_[i].draining && !Contains(excluded, i)) {
      return true;
    }
  }
  return false;
}

void BackendLedger::Take(BackendIndex index) {
  ++states_[index].in_flight;
}

void BackendLedger::Release(BackendIndex index) {
  --states_[index].in_flight;
}

void BackendLedger::OnResult(BackendIndex index,
                             AttemptResult result,
                             Duration latency,
                             Instant now) {
  BackendState& state = states_[index];
  switch (result) {
    case AttemptResult::kOk: {
      last_responses_[index] = now;
      state.health.OnResponse(latency);
      const Duration median = MedianLatency();
      const bool comparable =
          state.health.has_latency() && median > Duration(0);
      const double slowness =
          comparable ? static_cast<double>(state.health.latency().count()) /
                           static_cast<double>(median.count())
                     : 1;
      state.limit.OnResponse(slowness, now);
      EjectOutlier(index, now);
      return;
    }
    case AttemptResult::kShed:
      last_responses_[index] = now;
      state.limit.OnShed(now);
      if (state.taken() <= 1) {
        // The server held no other request, so load doesn't explain the shed.
        CountFailure(index, now);
      }
      return;
    case AttemptResult::kCancelled:
      last_responses_[index] = now;
      return;
    case AttemptResult::kNotSent:
    case AttemptResult::kFailed:
    case AttemptResult::kError:
    case AttemptResult::kTimeout:
      CountFailure(index, now);
      return;
  }
}

void BackendLedger::OnUnresponsive(BackendIndex index, Instant now) {
  CountFailure(index, now);
}

void BackendLedger::Advance(Instant now) {
  for (BackendState& state : states_) {
    if (state.inherited_in_flight != 0 && state.inherited_until <= now) {
      state.inherited_in_flight = 0;
    }
    if (state.health.ejected() && state.health.ejected_until() <= now) {
      state.health.EndEjection(now);
      state.limit.Restart(options_.cold_share, now);
    }
    if (state.health.idempotent_only() &&
        state.health.idempotent_only_until() <= now) {
      state.health.AllowAnyWork();
    }
  }
}

std::optional<Instant> BackendLedger::NextDue() const {
  std::optional<Instant> next;
  const auto consider = [&next](Instant at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const BackendState& state : states_) {
    if (state.inherited_in_flight != 0) {
      consider(state.inherited_until);
    }
    if (state.health.ejected()) {
      consider(state.health.ejected_until());
    }
    if (state.health.idempotent_only()) {
      consider(state.health.idempotent_only_until());
    }
  }
  return next;
}

int BackendLedger::usable_slots() const {
  int sum = 0;
  for (const BackendState& state : states_) {
    sum += state.usable();
  }
  return sum;
}

int BackendLedger::free_slots() const {
  int sum = 0;
  for (const BackendState& state : states_) {
    sum += state.free();
  }
  return sum;
}

// A new server reuses the index of one that is no longer listed and has no slot
// taken, so that memory doesn't grow as servers are replaced over months.
BackendState& BackendLedger::FindOrAdd(const BackendSpec& spec, bool* added) {
  const auto found = by_name_.find(spec.name);
  *added = found == by_name_.end();
  if (!*added) {
    return states_[found->second];
  }
  const BackendIndex index = VacantIndex();
  by_name_[spec.name] = index;
  states_[index] = BackendState(options_, spec.name, spec.slots);
  last_responses_[index] = Instant(0);
  return states_[index];
}

BackendIndex BackendLedger::VacantIndex() {
  const auto vacant = std::find_if(states_.begin(), states_.end(),
                                   [](const BackendState& state) {
                                     return !state.listed && state.taken() == 0;
                                   });
  if (vacant != states_.end()) {
    by_name_.erase(vacant->name);
    return static_cast<BackendIndex>(vacant - states_.begin());
  }
  states_.emplace_back(options_, "", 0);
  last_responses_.emplace_back(0);
  return states_.size() - 1;
}

Duration BackendLedger::MedianLatency() {
  if (responses_until_median_ > 0) {
    --responses_until_median_;
    return median_;
  }
  responses_until_median_ = kResponsesPerMedian;
  latencies_.clear();
  for (const BackendState& state : states_) {
    if (state.health.has_latency()) {
      latencies_.push_back(state.health.latency());
    }
  }
  if (latencies_.empty()) {
    return median_;
  }
  const auto middle = latencies_.begin() +
                      static_cast<std::ptrdiff_t>((latencies_.size() - 1) / 2);
  std::nth_element(latencies_.begin(), middle, latencies_.end());
  median_ = *middle;
  return median_;
}

void BackendLedger::EjectOutlier(BackendIndex index, Instant now) {
  BackendState& state = states_[index];
  if (state.health.IsOutlier(median_) && MayEject()) {
    state.health.Eject(now);
  }
}

bool BackendLedger::MayEject() const {
  int listed = 0;
  int ejected = 0;
  for (const BackendState& state : states_) {
    if (state.listed) {
      ++listed;
      ejected += state.health.ejected() ? 1 : 0;
    }
  }
  // Even in a small pool one server may be ejected, if another remains.
  const bool first_of_several = ejected == 0 && listed > 1;
  return first_of_several || ejected + 1 <= options_.max_ejected_share * listed;
}

void BackendLedger::CountFailure(BackendIndex index, Instant now) {
  states_[index].health.OnFailure();
  EjectOutlier(index, now);
}

}  // namespace heatherlever
