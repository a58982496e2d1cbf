#ifndef HEATHERLEVER_REGION_SPEC_H_
#define HEATHERLEVER_REGION_SPEC_H_

#include <string>
#include <vector>
#include "heatherlever/labels.h"

namespace heatherlever {

/// A region as the configuration declares it.
struct RegionSpec {
  std::string name;
  Labels labels;
  /// Names of the region's failure domains.
  std::vector<std::string> domains;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_REGION_SPEC_H_
