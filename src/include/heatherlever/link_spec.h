#ifndef HEATHERLEVER_LINK_SPEC_H_
#define HEATHERLEVER_LINK_SPEC_H_

#include <string>
#include "heatherlever/instant.h"

namespace heatherlever {

/// The network between two regions, the same in both directions.
struct LinkSpec {
  std::string from;
  std::string to;
  /// One-way delay.
  Duration delay{0};
  /// Capacity each way, in Mbit/s, shared with other traffic.
  double capacity_mbit_s = 0;
  /// Share of the capacity that this system may use, from 0 to 1.
  double max_share = 1;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LINK_SPEC_H_
