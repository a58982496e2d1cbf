#ifndef HEATHERLEVER_INSTANT_H_
#define HEATHERLEVER_INSTANT_H_

#include <chrono>

namespace heatherlever {

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process, as the time since an
/// arbitrary start. The library never reads a clock: callers pass each event's
/// instant in, and instants of different processes are never compared.
using Instant = std::chrono::microseconds;

}  // namespace heatherlever

#endif  // HEATHERLEVER_INSTANT_H_
