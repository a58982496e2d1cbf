#include "libheathergate/retry_after_field.h"

#include <charconv>
#include <cmath>

namespace heathergate {

std::optional<std::chrono::duration<double>> ParseRetryAfter(
    std::string_view text) {
  const char* end = text.data() + text.size();
  double seconds = 0;
  const auto parsed =
      std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      !std::isfinite(seconds) || std::signbit(seconds)) {
    return std::nullopt;
  }
  return std::chrono::duration<double>(seconds);
}

}  // namespace heathergate
