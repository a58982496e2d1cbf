#ifndef HEATHERLEVER_PLACEMENT_DECISION_H_
#define HEATHERLEVER_PLACEMENT_DECISION_H_

#include <array>
#include <cstddef>
#include <string_view>

#include "heatherlever/instant.h"
#include "heatherlever/placement_reason.h"

namespace heatherlever {

/// What happens to a request.
enum class PlacementOutcome { kHome, kMoved, kRefused };

/// Names of the outcomes, indexed by PlacementOutcome.
inline constexpr std::array<std::string_view, 3> kPlacementOutcomeNames = {
    "home", "moved", "refused"};

/// Name of an outcome.
constexpr std::string_view PlacementOutcomeName(PlacementOutcome outcome) {
  return kPlacementOutcomeNames[static_cast<std::size_t>(outcome)];
}

/// Where one request goes.
struct PlacementDecision {
  PlacementOutcome outcome = PlacementOutcome::kHome;
  /// Index of the caller's home region.
  std::size_t home = 0;
  /// Index of the region that runs the request; the home region if it was
  /// refused.
  std::size_t region = 0;
  PlacementReason reason = PlacementReason::kHomeServes;
  /// When refused: time after which to try again. The request was not run.
  Duration retry_after{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_PLACEMENT_DECISION_H_
