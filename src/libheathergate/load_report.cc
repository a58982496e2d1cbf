#include "libheathergate/load_report.h"

#include <array>
#include <charconv>

namespace heathergate {

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  std::array<int, 3> numbers{};
  const char* at = text.data();
  const char* end = text.data() + text.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && (at == end || *at++ != ',')) {
      return std::nullopt;
    }
    const auto parsed = std::from_chars(at, end, numbers[i]);
    if (parsed.ec != std::errc() || numbers[i] < 0) {
      return std::nullopt;
    }
    at = parsed.ptr;
  }
  if (at != end) {
    return std::nullopt;
  }
  return LoadReport{numbers[0], numbers[1], numbers[2]};
}

}  // namespace heathergate
