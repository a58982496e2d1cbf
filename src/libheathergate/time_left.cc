#include "libheathergate/time_left.h"

#include <algorithm>
#include <charconv>

namespace heathergate {
namespace {

using heatherlever::Duration;

// Longest time that is told apart, in milliseconds; above eleven days.
constexpr double kMaxMs = 1e9;

}  // namespace

std::optional<Duration> ParseTimeLeft(const std::string& text) {
  double ms = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, ms);
  // The comparison leaves NaN out, too.
  if (text.empty() || error != std::errc() || end != last || !(ms >= 0)) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::min(ms, kMaxMs)));
}

}  // namespace heathergate
