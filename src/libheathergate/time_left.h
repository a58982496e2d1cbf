#ifndef LIBHEATHERGATE_TIME_LEFT_H_
#define LIBHEATHERGATE_TIME_LEFT_H_

#include <optional>
#include <string>

#include "heatherlever/instant.h"

namespace heathergate {

/// Parses the time until the caller's deadline: milliseconds with an optional
/// fraction. Returns nothing if the text isn't such a number.
std::optional<heatherlever::Duration> ParseTimeLeft(const std::string& text);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_TIME_LEFT_H_
