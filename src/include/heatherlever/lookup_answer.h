#ifndef HEATHERLEVER_LOOKUP_ANSWER_H_
#define HEATHERLEVER_LOOKUP_ANSWER_H_

#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heatherlever {

/// Which entry hosts a caller is to use.
struct LookupAnswer {
  /// Names of entry hosts, the first choice first: the owner of the kind's pool
  /// in the caller's home region, its deputy, others of that region, then hosts
  /// of the nearest regions.
  std::vector<std::string> hosts;
  /// Time for which the caller may keep the answer.
  Duration time_to_live{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LOOKUP_ANSWER_H_
