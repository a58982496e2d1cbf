#ifndef HEATHERLEVER_PROBE_TARGET_H_
#define HEATHERLEVER_PROBE_TARGET_H_

#include <cstdint>

#include "heatherlever/instant.h"

namespace heatherlever {

/// What a host remembers of another one that it probes.
struct ProbeTarget {
  bool neighbor = false;
  bool watched = false;
  /// Picked at random; dropped once it has answered or was suspected.
  bool picked = false;

  Instant next_probe{};
  /// Of the newest probe; 0 before the first.
  std::uint64_t sequence = 0;
  Instant probed{};
  /// The newest probe was answered, or helpers were asked for it.
  bool settled = true;
  /// Newest answer to a probe of this host itself.
  Instant last_answer{};
  /// Newest sign of life, of whatever kind.
  Instant last_evidence{};
  /// As last told to the caller; of watched hosts only.
  bool reachable = true;

  bool wanted() const { return neighbor || watched || picked; }
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_PROBE_TARGET_H_
