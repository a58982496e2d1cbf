#include "heathersteer/cold_rate_parts.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "heathersteer/backend_server.h"
#include "heathersteer/hash.h"
#include "heathersteer/placement_options.h"

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time in which requests still count that this host has sent before a restart.
constexpr Duration kStartDelay = std::chrono::seconds(1);

// Part at servers that declare no rate, or less than one request per second.
constexpr double kMinRequestsPerSecond = 1;
// Limits the conversion to an integer; no server declares as much.
constexpr double kMaxRequestsPerSecond = 1e6;

}  // namespace

ColdRateParts::ColdRateParts(const PlacementOptions& options)
    : self_{options.host, options.region, options.domain},
      other_region_weight_(options.other_region_weight),
      other_domain_weight_(options.other_domain_weight) {}

void ColdRateParts::SetHosts(std::vector<HostLocation> hosts, Instant now) {
  if (hosts_ == hosts) {
    return;
  }
  if (hosts_.empty()) {
    earlier_sends_end_ = now + kStartDelay;
  }
  hosts_ = std::move(hosts);
  ++generation_;
}

double ColdRateParts::Score(const HostLocation& host,
                            const BackendServer& server) const {
  double weight = 1;
  if (host.region != server.region) {
    weight = other_region_weight_;
  } else if (host.domain != server.domain) {
    weight = other_domain_weight_;
  }
  return weight / -std::log(UnitHash(host.name, server.id));
}

std::size_t ColdRateParts::Rank(const BackendServer& server) const {
  const double self_score = Score(self_, server);
  return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& host) {
        const double score = Score(host, server);
        return score > self_score ||
               (score == self_score && host.name < self_.name);
      }));
}

int ColdRateParts::Part(double requests_per_s, std::size_t rank) const {
  if (hosts_.empty()) {
    return 0;
  }
  const auto total = static_cast<std::size_t>(
      std::clamp(requests_per_s, kMinRequestsPerSecond, kMaxRequestsPerSecond));
  const std::size_t count = hosts_.size();
  return static_cast<int>(total / count + (rank < total % count ? 1 : 0));
}

}  // namespace heathersteer
