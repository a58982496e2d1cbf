#ifndef HEATHERNET_BOOT_CLOCK_H_
#define HEATHERNET_BOOT_CLOCK_H_

#include <algorithm>
#include <asio/wait_traits.hpp>
#include <chrono>

#include "heatherlever/instant.h"

namespace heathernet {

/// CLOCK_BOOTTIME, which goes on while the machine is suspended. Its epoch is a
/// day before the boot, so that Instant(0), which stands for what has not
/// happened yet, is long ago also on a machine that has just booted.
struct BootClock {
  using duration = heatherlever::Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The standard gives this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now();
};

/// Bounds each wait of Asio, whose own clock stops while the machine is
/// suspended.
struct BootWaitTraits {
  static constexpr heatherlever::Duration kMaxWait{1'000'000};

  static BootClock::duration to_wait_duration(
      const BootClock::duration& duration) {
    return std::min(duration, kMaxWait);
  }
  static BootClock::duration to_wait_duration(
      const BootClock::time_point& time) {
    return to_wait_duration(time - BootClock::now());
  }
};

}  // namespace heathernet

#endif  // HEATHERNET_BOOT_CLOCK_H_
