#ifndef HEATHER_LOAD_WAVE_H_
#define HEATHER_LOAD_WAVE_H_

#include "heatherlever/instant.h"

namespace heather_load {

/// A cosine between two factors of a stream's rate, for a busiest hour that
/// moves from region to region: streams of later regions have a later phase.
struct Wave {
  heatherlever::Duration period{0};
  /// Factors of the rate at the least busy and at the busiest time.
  double low = 1;
  double high = 1;
  /// Time of the busiest moment, from the start of the load.
  heatherlever::Duration phase{0};

  /// Factor of the rate at a time from the start of the load.
  double Factor(heatherlever::Duration at) const;
};

}  // namespace heather_load

#endif  // HEATHER_LOAD_WAVE_H_
