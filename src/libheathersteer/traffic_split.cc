#include "heathersteer/traffic_split.h"

#include <charconv>
#include <cmath>
#include <cstdint>

#include "heathersteer/hash.h"
#include "heathersteer/route.h"

namespace heathersteer {
namespace {

// Difference from a weight's share at which requests leave the service that
// their key belongs to.
constexpr double kShareTolerance = 0.04;
// Requests from which on a share is compared with its weight.
constexpr double kMinSent = 20;
// Requests over which the shares are taken.
constexpr double kMaxCountedRequests = 400;
constexpr double kGoldenRatio = 0.6180339887498949;

// Position of a key in [0, 1). Consecutive numbers are spread evenly, so that
// the shares of few keys come close to the weights.
double Position(const std::string& route, std::string_view key) {
  const double offset = UnitHash("split", route);
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(key.data(), key.data() + key.size(), number);
  const bool numeric = error == std::errc() && end == key.data() + key.size();
  const double spread = numeric ? static_cast<double>(number) * kGoldenRatio
                                : UnitHash(route, key);
  return offset + spread - std::floor(offset + spread);
}

std::size_t AtPosition(const std::vector<double>& weights, double position) {
  for (std::size_t i = 0; i + 1 < weights.size(); ++i) {
    if (position < weights[i]) {
      return i;
    }
    position -= weights[i];
  }
  return weights.size() - 1;
}

std::vector<double> NormalizedWeights(const Route& route) {
  double total = 0;
  for (const WeightedService& part : route.services) {
    total += part.weight;
  }
  std::vector<double> weights;
  for (const WeightedService& part : route.services) {
    weights.push_back(total > 0
                          ? part.weight / total
                          : 1.0 / static_cast<double>(route.services.size()));
  }
  return weights;
}

}  // namespace

const std::string& TrafficSplit::Choose(const Route& route,
                                        std::string_view affinity_key) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  Shares& shares = by_route_[route.name];
  const std::vector<double> weights = NormalizedWeights(route);
  if (shares.weights != weights) {
    shares = {weights, std::vector<double>(weights.size(), 0)};
  }
  double total = 0;
  for (const double sent : shares.sent) {
    total += sent;
  }
  std::size_t chosen = AtPosition(weights, Position(route.name, affinity_key));
  const auto surplus = [&](std::size_t i) {
    return shares.sent[i] / total - weights[i];
  };
  if (total >= kMinSent && surplus(chosen) > kShareTolerance) {
    for (std::size_t i = 0; i < weights.size(); ++i) {
      chosen = surplus(i) < surplus(chosen) ? i : chosen;
    }
  }
  shares.sent[chosen] += 1;
  if (total + 1 > kMaxCountedRequests) {
    for (double& sent : shares.sent) {
      sent /= 2;
    }
  }
  return route.services[chosen].service;
}

}  // namespace heathersteer
