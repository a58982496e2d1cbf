#ifndef HEATHERLEVER_LOOKUP_OPTIONS_H_
#define HEATHERLEVER_LOOKUP_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "heatherlever/instant.h"

namespace heatherlever {

/// Settings of LookupDirectory.
struct LookupOptions {
  Duration time_to_live = std::chrono::seconds(5);
  /// Hosts of the home region in an answer, at most.
  std::size_t home_hosts = 4;
  /// Hosts of each other region in an answer, at most.
  std::size_t other_hosts = 1;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LOOKUP_OPTIONS_H_
