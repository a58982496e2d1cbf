#ifndef LIBHEATHERGATE_TIME_LEFT_H_
#define LIBHEATHERGATE_TIME_LEFT_H_

#include <optional>
#include <string>

#include "heatherlever/instant.h"

namespace heathergate {

/// Parses the time that a client states to have left, in milliseconds with an
/// optional fraction. Nothing if the text states none.
std::optional<heatherlever::Duration> ParseTimeLeft(const std::string& text);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_TIME_LEFT_H_
