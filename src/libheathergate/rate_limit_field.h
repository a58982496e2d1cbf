#ifndef LIBHEATHERGATE_RATE_LIMIT_FIELD_H_
#define LIBHEATHERGATE_RATE_LIMIT_FIELD_H_

#include <optional>
#include <string_view>

namespace heathergate {

/// Parses a rate limit in requests/s, a decimal number above 0. Returns nothing
/// for any other text.
std::optional<double> ParseRateLimit(std::string_view text);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_RATE_LIMIT_FIELD_H_
