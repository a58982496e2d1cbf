#ifndef LIBHEATHERGATE_RETRY_AFTER_FIELD_H_
#define LIBHEATHERGATE_RETRY_AFTER_FIELD_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace heathergate {

/// Header field by which a response states when the sender of the request may
/// try again.
inline constexpr const char* kRetryAfter = "Retry-After";

/// Parses a Retry-After in seconds, a decimal number not below 0. Returns
/// nothing for any other text, which includes dates.
std::optional<std::chrono::duration<double>> ParseRetryAfter(
    std::string_view text);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_RETRY_AFTER_FIELD_H_
