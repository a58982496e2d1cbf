// What Placement says about its choices.

#include <cmath>

#include "heatherlever/placement_explanation.h"
#include "placement_state.h"

namespace heatherlever {
namespace {

constexpr double kPercent = 100;

std::string Percent(double share) {
  return std::to_string(std::lround(share * kPercent)) + " %";
}

std::string Milliseconds(Duration duration) {
  if (duration == Duration::max()) {
    return "no link";
  }
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                 .count()) +
         " ms";
}

}  // namespace

PlacementExplanation Placement::State::Explain(const PlacementRequest& request,
                                               Instant now) const {
  const std::size_t home = HomeOf(request.client_address);
  const Leaving leaving = LeavingTarget(request.kind, home);
  const Flow& flow = FlowOf(request.kind, home);
  LeavingShare share = flow.leaving;
  share.SetTarget(leaving.share, now);
  const bool leaves = share.NextLeaves(now);

  PlacementExplanation explanation;
  explanation.decision = Choose(request, home, leaves, leaving, now);
  explanation.kind = kinds_[request.kind];
  explanation.home = regions_[home];
  explanation.region = regions_[explanation.decision.region];
  explanation.rule = rule_of_kind_[request.kind];
  explanation.known_block = blocks_->Find(request.client_address).has_value();
  explanation.leaving_share = share.ValueAt(now);
  explanation.leaving_reason =
      share.IsReturning(now) ? PlacementReason::kReturningHome : leaving.reason;
  explanation.cap = flow.cap.share();
  explanation.moved = flow.cap.moved();
  explanation.total = flow.cap.total();
  ExplainCandidates(request, &explanation, now);
  return explanation;
}

void Placement::State::ExplainCandidates(const PlacementRequest& request,
                                         PlacementExplanation* explanation,
                                         Instant now) const {
  for (std::size_t region = 0; region < regions_.size(); ++region) {
    if (region == explanation->decision.home) {
      continue;
    }
    Candidate candidate = Assess(request, region, now);
    if (candidate.reason == PlacementReason::kChosen &&
        region != explanation->decision.region) {
      candidate.reason = PlacementReason::kNotNeeded;
    }
    explanation->candidates.push_back({regions_[region], candidate.reason,
                                       candidate.delay, candidate.available});
  }
}

std::vector<std::string> PlacementExplanation::Lines() const {
  std::vector<std::string> lines = {
      "kind " + kind + ", rule " + (rule.empty() ? "none" : rule),
      "home " + home + (known_block ? "" : " (address in no client block)"),
      "leaving home " + Percent(leaving_share) + " (" +
          std::string(PlacementReasonName(leaving_reason)) + ")",
      "cap " + Percent(cap) + ", moved " + std::to_string(moved) + " of " +
          std::to_string(total),
  };
  for (const CandidateExplanation& candidate : candidates) {
    lines.push_back("candidate " + candidate.region + ": " +
                    std::string(PlacementReasonName(candidate.reason)) +
                    ", delay " + Milliseconds(candidate.delay) + ", headroom " +
                    std::to_string(candidate.headroom));
  }
  lines.push_back(
      "outcome " + std::string(PlacementOutcomeName(decision.outcome)) +
      (decision.outcome == PlacementOutcome::kRefused ? "" : " to " + region) +
      " (" + std::string(PlacementReasonName(decision.reason)) + ")");
  return lines;
}

}  // namespace heatherlever
