#include "libheathergate/rate_limit_field.h"

#include <charconv>
#include <cmath>

namespace heathergate {

std::optional<double> ParseRateLimit(std::string_view text) {
  const char* end = text.data() + text.size();
  double limit = 0;
  const auto parsed =
      std::from_chars(text.data(), end, limit, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(limit) ||
      limit <= 0) {
    return std::nullopt;
  }
  return limit;
}

}  // namespace heathergate
