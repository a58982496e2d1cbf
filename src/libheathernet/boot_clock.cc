#include "boot_clock.h"

#include <ctime>

namespace heathernet {
namespace {

// Events of before the boot, whose ages other hosts send, are within it.
constexpr std::chrono::hours kEpochBeforeBoot{24};

}  // namespace

BootClock::time_point BootClock::now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const auto since_boot = std::chrono::seconds(time.tv_sec) +
                          std::chrono::nanoseconds(time.tv_nsec) +
                          kEpochBeforeBoot;
  return time_point(std::chrono::duration_cast<duration>(since_boot));
}

}  // namespace heathernet
