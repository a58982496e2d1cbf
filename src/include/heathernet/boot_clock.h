#ifndef HEATHERNET_BOOT_CLOCK_H_
#define HEATHERNET_BOOT_CLOCK_H_

#include "heatherlever/instant.h"

namespace heathernet {

/// The time since the machine started, suspension included. Leases count on
/// this clock: one that stops while the machine sleeps would let a holder
/// believe in a lease that has lapsed.
heatherlever::Instant BootTime();

}  // namespace heathernet

#endif  // HEATHERNET_BOOT_CLOCK_H_
