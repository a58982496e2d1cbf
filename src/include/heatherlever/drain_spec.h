#ifndef HEATHERLEVER_DRAIN_SPEC_H_
#define HEATHERLEVER_DRAIN_SPEC_H_

#include <cstdint>
#include <string>
#include "heatherlever/instant.h"

namespace heatherlever {

/// An announced drain: backend servers, failure domains or regions that get no
/// new work.
struct DrainSpec {
  std::string name;
  /// Selector over the labels of backend servers, with the built-in labels
  /// `name`, `region`, `domain` and `service`.
  std::string select;
  /// Seconds since the Unix epoch at which the drain starts; 0 means at once.
  std::int64_t start_unix_s = 0;
  /// Time over which traffic is moved away.
  Duration ramp{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_DRAIN_SPEC_H_
