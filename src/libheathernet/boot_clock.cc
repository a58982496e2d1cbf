#include "heathernet/boot_clock.h"

#include <time.h>

namespace heathernet {

heatherlever::Instant BootTime() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<heatherlever::Instant>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace heathernet
