#ifndef HEATHERLEVER_PLACEMENT_EXPLANATION_H_
#define HEATHERLEVER_PLACEMENT_EXPLANATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/placement_decision.h"
#include "heatherlever/placement_reason.h"

namespace heatherlever {

/// Why one region would or would not get a request.
struct CandidateExplanation {
  std::string region;
  PlacementReason reason = PlacementReason::kNotSelected;
  /// One-way delay from the deciding host's region.
  Duration delay{0};
  /// Further requests that the deciding host may send there now.
  int headroom = 0;
};

/// Why a request would go where it would go.
struct PlacementExplanation {
  PlacementDecision decision;
  std::string kind;
  std::string home;
  /// Region that would run the request; the home region if it is refused.
  std::string region;
  /// Name of the rule that applies; empty if none does.
  std::string rule;
  /// Whether a block holds the caller's address. If not, the deciding host's
  /// region counts as the home region.
  bool known_block = false;
  /// Share of the home region's requests that is to leave it at present, from
  /// 0 to 1, and why.
  double leaving_share = 0;
  PlacementReason leaving_reason = PlacementReason::kHomeServes;
  /// The largest share that may be moved, and the counts so far.
  double cap = 0;
  std::uint64_t moved = 0;
  std::uint64_t total = 0;
  /// Every region besides home.
  std::vector<CandidateExplanation> candidates;

  /// Lines to show to an operator.
  std::vector<std::string> Lines() const;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_PLACEMENT_EXPLANATION_H_
