#include "heathersteer/placement.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "heathersteer/hash.h"
#include "heathersteer/route.h"
#include "heathersteer/service.h"
#include "heathersteer/shift_limiter.h"
#include "heathersteer/steering_rules.h"

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Share of the target latency that queueing and service at a server may use.
constexpr double kTargetShare = 0.8;
// Maximum number of requests for each slot, however long the target latency is:
// a longer queue only adds latency to every response.
constexpr double kMaxRequestsPerSlot = 2.0;
// Minimum weight factor of a server that refuses requests despite free
// capacity, so that its recovery is noticed.
constexpr double kMinWeightFactor = 0.05;

// Share of impaired slots above which a region counts as impaired.
constexpr double kImpairedShare = 0.15;

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

bool IsEligible(const ServerTable& table,
                const PlacementRequest& request,
                const ServerState& state,
                Instant now) {
  const BackendServer& server = state.server;
  if (server.draining || table.evacuated(server.domain)) {
    return false;
  }
  if (request.tried != nullptr && Contains(*request.tried, server.id)) {
    return false;
  }
  const auto& homes = request.route->home_regions;
  if (!homes.empty() && !Contains(homes, server.region)) {
    return false;
  }
  if (request.rules != nullptr &&
      !request.rules->Allows(request.rule_index, server)) {
    return false;
  }
  return state.health.usable(now);
}

}  // namespace

double Placement::ConcurrencyLimit(const ServerState& server,
                                   const Route& route,
                                   Instant) const {
  const Duration mean = server.health.mean_service_time();
  double per_slot = 1;
  if (mean.count() > 0) {
    per_slot = kTargetShare *
               static_cast<double>(route.target_latency.count()) /
               static_cast<double>(mean.count());
  }
  return server.server.slots * std::clamp(per_slot, 1.0, kMaxRequestsPerSlot);
}

double Placement::Weight(const ServerState& state, Instant) const {
  const BackendServer& server = state.server;
  double weight = server.slots;
  if (server.region != options_.region) {
    weight *= options_.other_region_weight;
  } else if (server.domain != options_.domain) {
    weight *= options_.other_domain_weight;
  }
  const double accepted = 1 - state.health.refusal_share();
  return weight * std::max(kMinWeightFactor, accepted * accepted);
}

bool Placement::MayServe(const ServerState& state,
                         ServerGroup group,
                         Instant now) const {
  if (!state.leaving_since) {
    return group == ServerGroup::kStaying;
  }
  // Later on it may end at any moment, under the requests that it runs.
  return group == ServerGroup::kLeaving &&
         now - *state.leaving_since < options_.leaving_grace;
}

std::vector<Placement::Candidate> Placement::SortedCandidates(
    const ServerTable& table,
    const PlacementRequest& request,
    ServerGroup group,
    Instant now) const {
  std::vector<Candidate> ranked;
  const bool may_shift = request.rules == nullptr ||
                         request.rules->MayShift(request.rule_index, now);
  for (const auto& state : table.OfService(request.service->name)) {
    if (!MayServe(*state, group, now) ||
        !IsEligible(table, request, *state, now)) {
      continue;
    }
    if (!may_shift && state->server.region != options_.region) {
      continue;
    }
    const double hash = UnitHash(request.affinity_key, state->server.id);
    ranked.push_back({state, Weight(*state, now) / -std::log(hash)});
  }
  std::sort(
      ranked.begin(), ranked.end(),
      [](const Candidate& a, const Candidate& b) { return a.score > b.score; });
  return ranked;
}

Duration Placement::BackoffLeft(const std::vector<Candidate>& ranked,
                                const ServerTable& table,
                                const PlacementRequest& request,
                                Instant now) const {
  Duration shortest = Duration::max();
  for (const Candidate& candidate : ranked) {
    shortest = std::min(shortest, candidate.server->BackoffLeft(now));
  }
  if (ranked.empty()) {
    PlacementRequest untried = request;
    untried.tried = nullptr;
    for (const auto& state : table.OfService(request.service->name)) {
      if ((MayServe(*state, ServerGroup::kStaying, now) ||
           MayServe(*state, ServerGroup::kLeaving, now)) &&
          IsEligible(table, untried, *state, now)) {
        shortest = std::min(shortest, state->BackoffLeft(now));
      }
    }
  }
  return shortest == Duration::max() ? Duration(0) : shortest;
}

PlacementChoice Placement::Choose(const ServerTable& table,
                                  const PlacementRequest& request,
                                  Instant now) const {
  const auto is_backed_off = [&](const Candidate& candidate) {
    return candidate.server->BackoffLeft(now) > Duration(0);
  };
  std::vector<Candidate> ranked =
      SortedCandidates(table, request, ServerGroup::kStaying, now);
  if (std::all_of(ranked.begin(), ranked.end(), is_backed_off)) {
    const auto leaving =
        SortedCandidates(table, request, ServerGroup::kLeaving, now);
    ranked.insert(ranked.end(), leaving.begin(), leaving.end());
  }
  if (request.counts_as_demand) {
    CountDemand(ranked, now);
  }
  PlacementChoice choice;
  choice.candidate_count = static_cast<int>(ranked.size());
  if (!ranked.empty()) {
    choice.preferred = ranked.front().server;
  }
  choice.region_impaired = RegionImpaired(table, *request.service, now);
  choice.backoff_left = BackoffLeft(ranked, table, request, now);
  const auto is_local = [&](const Candidate& candidate) {
    return candidate.server->server.region == options_.region;
  };
  const bool local_usable = std::any_of(
      ranked.begin(), ranked.end(), [&](const Candidate& candidate) {
        return is_local(candidate) && !is_backed_off(candidate);
      });
  const bool may_shift = !std::all_of(ranked.begin(), ranked.end(), is_local);
  const int local_choices =
      may_shift ? options_.local_choices : options_.local_only_choices;
  BestServer local;
  BestServer remote;
  Duration shortest_limit = Duration::max();
  std::map<std::string_view, int> considered_by_region;
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    const Candidate& candidate = ranked[rank];
    ServerState& state = *candidate.server;
    const Duration cold_for = ColdTimeToSend(state, *request.service, now);
    const Duration limited_for = std::max(TimeToSend(state, now), cold_for);
    if (limited_for < shortest_limit) {
      shortest_limit = limited_for;
      choice.limited_by_cold = cold_for == limited_for;
    }
    if (limited_for > Duration(0)) {
      continue;
    }
    const int max_choices =
        is_local(candidate) ? local_choices : options_.remote_choices;
    if (++considered_by_region[state.server.region] <= max_choices) {
      UpdateBest(candidate, rank, *request.route, now,
                 is_local(candidate) ? local : remote);
    }
  }
  if (!ranked.empty()) {
    choice.limited_for = shortest_limit;
  }
  choice.limited_by_cold =
      choice.limited_by_cold && choice.limited_for > Duration(0);
  choice.server =
      ChooseRegion(request, local, remote, local_usable, now, choice).server;
  return choice;
}

// Without limits the request would go to the first local server, or to a remote
// one before it. Servers with a limit pass a part of their demand on to the
// next.
void Placement::CountDemand(const std::vector<Candidate>& ranked,
                            Instant now) const {
  for (const Candidate& candidate : ranked) {
    ServerState& state = *candidate.server;
    state.rate_limit.CountDemand(now);
    if (state.server.region == options_.region &&
        state.rate_limit.limit() == 0) {
      return;
    }
  }
}

// Without a share of the server's rate, until it is warm.
Duration Placement::ColdTimeToSend(ServerState& state,
                                   const Service& service,
                                   Instant now) const {
  if (!state.cold(now) && !servers_uncertain_) {
    return Duration(0);
  }
  const Duration wait = state.cold_limiter.TimeToSend(
      cold_parts_, state.server, service.cold_requests_per_s, now);
  return servers_uncertain_ ? wait : std::min(state.cold_end() - now, wait);
}

Duration Placement::TimeToSend(ServerState& state, Instant now) const {
  const Duration limited_for = state.rate_limit.TimeToSend(
      now, options_.host_count, UnitHash(options_.host, state.server.id));
  return std::max(limited_for, state.BackoffLeft(now));
}

// The first candidate with a free slot goes before any other; among full ones
// the one with the least utilization below its limit is kept.
void Placement::UpdateBest(const Candidate& candidate,
                           std::size_t rank,
                           const Route& route,
                           Instant now,
                           BestServer& option) const {
  if (option.has_free_slot) {
    return;
  }
  const ServerState& state = *candidate.server;
  const double load = state.load.Estimate(now);
  if (load < state.server.slots) {
    option = {candidate.server, rank, true, 0};
    return;
  }
  const double utilization = load / ConcurrencyLimit(state, route, now);
  if (utilization < option.utilization) {
    option = {candidate.server, rank, false, utilization};
  }
}

const Placement::BestServer& Placement::ChooseRegion(
    const PlacementRequest& request,
    const BestServer& local,
    const BestServer& remote,
    bool local_usable,
    Instant now,
    PlacementChoice& choice) const {
  const bool would_shift =
      remote.has_free_slot
          ? !local.has_free_slot || remote.position < local.position
          : !local.has_free_slot && remote.server != nullptr &&
                remote.utilization < local.utilization;
  choice.would_shift = would_shift;
  if (request.shift_limiter == nullptr || !local_usable) {
    return would_shift ? remote : local;
  }
  if (would_shift) {
    return request.shift_limiter->MayShift(now) ? remote : local;
  }
  return remote.has_free_slot && request.shift_limiter->ShouldShift(now)
             ? remote
             : local;
}

// A domain that fails or restarts cold takes capacity away from the region at
// once, so requests may be shifted at once.
bool Placement::RegionImpaired(const ServerTable& table,
                               const Service& service,
                               Instant now) const {
  int slots = 0;
  int impaired = 0;
  for (const auto& state : table.OfService(service.name)) {
    const BackendServer& server = state->server;
    if (server.region != options_.region) {
      continue;
    }
    slots += server.slots;
    if (!state->health.usable(now) || state->cold(now) ||
        table.evacuated(server.domain)) {
      impaired += server.slots;
    }
  }
  return impaired > kImpairedShare * slots;
}

void Placement::Commit(ServerState& state, Instant now) {
  state.load.Sent();
  state.rate_limit.Take();
  // Whether the server is cold may become known only later.
  state.cold_limiter.RecordSend(now);
  if (state.cold(now)) {
    ++cold_sends_;
  }
}

// Connecting may take long enough for two requests that were chosen a second
// apart to arrive within one.
bool Placement::ConfirmSend(ServerState& state, bool was_cold, Instant now) {
  const bool turned_cold = state.cold(now) && !was_cold;
  if (!state.listed || state.server.draining || turned_cold ||
      state.BackoffLeft(now) > Duration(0)) {
    return false;
  }
  state.cold_limiter.RecordSend(now);
  return true;
}

}  // namespace heathersteer
