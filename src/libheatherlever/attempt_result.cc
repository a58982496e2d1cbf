#include "heatherlever/attempt_result.h"

#include <algorithm>

namespace heatherlever {

std::optional<AttemptResult> AttemptResultFromName(std::string_view name) {
  const auto* found =
      std::find(kAttemptResultNames.begin(), kAttemptResultNames.end(), name);
  if (found == kAttemptResultNames.end()) {
    return std::nullopt;
  }
  return static_cast<AttemptResult>(found - kAttemptResultNames.begin());
}

}  // namespace heatherlever
