#ifndef HEATHERSTEER_MILLISECONDS_H_
#define HEATHERSTEER_MILLISECONDS_H_

#include <chrono>
#include <cstdint>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Converts a duration to milliseconds, rounded towards 0.
constexpr std::int64_t Milliseconds(heatherlever::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace heathersteer

#endif  // HEATHERSTEER_MILLISECONDS_H_
