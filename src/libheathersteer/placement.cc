#include "heathersteer/placement.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>

#include "heathersteer/hash.h"
#include "heathersteer/route.h"
#include "heathersteer/service.h"
#include "heathersteer/steering_rules.h"

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Part of the target latency that waiting and work at a server may use up.
constexpr double kTargetShare = 0.8;
// Most requests for each slot, however long the target latency is: beyond, the
// queue only adds to the time of every answer.
constexpr double kMostPerSlot = 2.0;
// A server that refuses without need keeps this share, so that its recovery is
// seen.
constexpr double kLeastWeight = 0.05;

// Rate for cold servers of services that declare none, in requests a second.
constexpr double kLeastColdRate = 1;

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

bool Allowed(const ServerTable& table,
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
      !request.rules->Allows(request.rule, server)) {
    return false;
  }
  return state.evidence.usable(now);
}

}  // namespace

double Placement::Limit(const ServerState& server,
                        const Route& route,
                        Instant) const {
  const Duration mean = server.evidence.mean_time();
  double per_slot = 1;
  if (mean.count() > 0) {
    per_slot = kTargetShare *
               static_cast<double>(route.target_latency.count()) /
               static_cast<double>(mean.count());
  }
  return server.server.slots * std::clamp(per_slot, 1.0, kMostPerSlot);
}

double Placement::Weight(const ServerState& state, Instant) const {
  const BackendServer& server = state.server;
  double weight = server.slots;
  if (server.region != options_.region) {
    weight *= options_.other_region_weight;
  } else if (server.domain != options_.domain) {
    weight *= options_.other_domain_weight;
  }
  const double accepted = 1 - state.evidence.refusal_share();
  return weight * std::max(kLeastWeight, accepted * accepted);
}

std::vector<Placement::Candidate> Placement::Rank(
    const ServerTable& table,
    const PlacementRequest& request,
    Instant now) const {
  std::vector<Candidate> ranked;
  const bool may_shift =
      request.rules == nullptr || request.rules->MayShift(request.rule, now);
  for (const auto& state : table.OfService(request.service->name)) {
    if (!Allowed(table, request, *state, now)) {
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

PlacementChoice Placement::Choose(const ServerTable& table,
                                  const PlacementRequest& request,
                                  Instant now) const {
  const std::vector<Candidate> ranked = Rank(table, request, now);
  PlacementChoice choice;
  choice.candidates = static_cast<int>(ranked.size());
  if (!ranked.empty()) {
    choice.preferred = ranked.front().server;
  }
  double best_load = 1;
  const bool may_leave = std::any_of(
      ranked.begin(), ranked.end(), [&](const Candidate& candidate) {
        return candidate.server->server.region != options_.region;
      });
  const int near_choices =
      may_leave ? options_.near_choices : options_.sole_region_choices;
  std::map<std::string_view, int> taken_by_region;
  for (const Candidate& candidate : ranked) {
    ServerState& state = *candidate.server;
    if (state.cold(now) &&
        !state.cold_pace.Ready(now, ColdPause(*request.service),
                               UnitHash(options_.host, state.server.id))) {
      continue;
    }
    const bool near = state.server.region == options_.region;
    const int most = near ? near_choices : options_.far_choices;
    if (++taken_by_region[state.server.region] > most) {
      continue;
    }
    const double load = state.load.Estimate(now);
    if (load < state.server.slots) {
      choice.server = candidate.server;
      return choice;
    }
    const double filled = load / Limit(state, *request.route, now);
    if (filled < best_load) {
      choice.server = candidate.server;
      best_load = filled;
    }
  }
  return choice;
}

void Placement::Commit(ServerState& state,
                       const Service& service,
                       Instant now) const {
  state.load.Sent();
  if (state.cold(now)) {
    state.cold_pace.Take(now, ColdPause(service));
  }
}

Duration Placement::ColdPause(const Service& service) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double rate = std::max(service.cold_requests_per_s, kLeastColdRate);
  return Duration(static_cast<std::int64_t>(options_.hosts / rate *
                                            kMicrosecondsPerSecond));
}

}  // namespace heathersteer
