#include "heather-bench-decisions/direct_policy.h"

#include <algorithm>
#include <vector>

#include "heather-bench-decisions/pool_simulation.h"

namespace heather_bench_decisions {
namespace {

using heatherlever::AttemptResult;

// Mean time until a shed request is sent again; doubles with each shed.
constexpr double kRetryDelayUs = 10000;
constexpr int kMaxDoublings = 5;

}  // namespace

DirectPolicy::DirectPolicy(PoolSimulation& simulation,
                           Choice choice,
                           std::uint64_t seed)
    : simulation_(simulation), choice_(choice), random_(seed) {}

void DirectPolicy::Arrive(const SimRequest& request) {
  Send(request, 0);
}

std::optional<std::size_t> DirectPolicy::RandomServer() {
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < simulation_.backend_count(); ++i) {
    if (simulation_.takes_work(i)) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random_() % candidates.size()];
}

std::optional<std::size_t> DirectPolicy::ChooseServer() {
  const std::optional<std::size_t> one = RandomServer();
  if (choice_ == Choice::kRandom || !one) {
    return one;
  }
  const std::optional<std::size_t> two = RandomServer();
  if (simulation_.reported_healthy(*one) !=
      simulation_.reported_healthy(*two)) {
    return simulation_.reported_healthy(*one) ? one : two;
  }
  return simulation_.reported(*one) <= simulation_.reported(*two) ? one : two;
}

void DirectPolicy::Send(const SimRequest& request, int sheds) {
  const std::optional<std::size_t> server = ChooseServer();
  if (!server) {
    return;
  }
  simulation_.backend(*server).Send(
      ++last_attempt_, request.deadline,
      [this, request, sheds](AttemptResult result) {
        if (result == AttemptResult::kOk) {
          simulation_.Answered(request);
        } else if (result == AttemptResult::kShed) {
          Retry(request, sheds + 1);
        }
      });
}

void DirectPolicy::Retry(const SimRequest& request, int sheds) {
  std::exponential_distribution<double> draw(
      1 / (kRetryDelayUs * (1 << std::min(sheds, kMaxDoublings))));
  const heatherlever::Duration delay(static_cast<std::int64_t>(draw(random_)));
  if (simulation_.events().now() + delay < request.deadline) {
    simulation_.events().After(
        delay, [this, request, sheds] { Send(request, sheds); });
  }
}

}  // namespace heather_bench_decisions
