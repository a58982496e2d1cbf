#include "heather-load/arrival.h"

#include <algorithm>
#include <random>

#include "heather-load/load_plan.h"

namespace heather_load {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

// Arrivals are drawn at the highest rate and kept with the chance that the
// wave gives (thinning), which yields a Poisson process of a changing rate.
void AddStream(const LoadStream& stream,
               std::uint64_t seed,
               std::vector<Arrival>& arrivals) {
  const double most = stream.wave ? stream.wave->high : 1;
  std::mt19937_64 generator(seed);
  std::exponential_distribution<double> gap_s(stream.rate_per_s * most);
  std::uniform_real_distribution<double> chance(0, most);
  std::uniform_int_distribution<std::uint32_t> caller(
      0, static_cast<std::uint32_t>(stream.callers - 1));
  double at_us = static_cast<double>(stream.start.count());
  while (true) {
    at_us += gap_s(generator) * kMicrosecondsPerSecond;
    const heatherlever::Duration at(static_cast<std::int64_t>(at_us));
    if (at >= stream.end) {
      return;
    }
    if (stream.wave && chance(generator) >= stream.wave->Factor(at)) {
      continue;
    }
    arrivals.push_back(
        {at, &stream, stream.first_caller + caller(generator), 0});
  }
}

}  // namespace

std::vector<Arrival> MakeArrivals(const LoadPlan& plan) {
  std::vector<Arrival> arrivals;
  std::uint64_t seed = plan.seed;
  for (const LoadStream& stream : plan.streams) {
    AddStream(stream, ++seed, arrivals);
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    arrivals[i].number = i;
  }
  return arrivals;
}

}  // namespace heather_load
