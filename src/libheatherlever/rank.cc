#include "heatherlever/rank.h"

#include <algorithm>

namespace heatherlever {

std::optional<Rank> RankFromName(std::string_view name) {
  const auto* found = std::find(kRankNames.begin(), kRankNames.end(), name);
  if (found == kRankNames.end()) {
    return std::nullopt;
  }
  return static_cast<Rank>(found - kRankNames.begin());
}

}  // namespace heatherlever
