#ifndef HEATHERLEVER_PLACEMENT_REASON_H_
#define HEATHERLEVER_PLACEMENT_REASON_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace heatherlever {

/// Why a request goes to a region, or does not.
enum class PlacementReason {
  kHomeServes,
  kHomeDead,
  kHomeDraining,
  kHomeNotSelected,
  kHomeFull,
  kReturningHome,
  kChosen,
  kNotNeeded,
  kDead,
  kDraining,
  kNotSelected,
  kNoSummary,
  kNoHeadroom,
  kLinkBudget,
  kCapReached,
};

/// Number of reasons.
inline constexpr std::size_t kPlacementReasonCount = 15;

/// Names of the reasons, indexed by PlacementReason.
inline constexpr std::array<std::string_view, kPlacementReasonCount>
    kPlacementReasonNames = {
        "home-serves", "home-dead",      "home-draining", "home-not-selected",
        "home-full",   "returning-home", "chosen",        "not-needed",
        "dead",        "draining",       "not-selected",  "no-summary",
        "no-headroom", "link-budget",    "cap-reached"};

/// Name of a reason.
constexpr std::string_view PlacementReasonName(PlacementReason reason) {
  return kPlacementReasonNames[static_cast<std::size_t>(reason)];
}

}  // namespace heatherlever

#endif  // HEATHERLEVER_PLACEMENT_REASON_H_
