#ifndef HEATHERSTEER_OPERATOR_STATE_H_
#define HEATHERSTEER_OPERATOR_STATE_H_

#include <cstdint>
#include <set>
#include <string>

namespace heathersteer {

/// What the operator has written, as of one version of the store.
struct OperatorState {
  /// Version of the store; 0 before the first read.
  std::uint64_t version = 0;
  /// The configuration as its writer encoded it; empty if there is none.
  std::string document;
  /// Failure domains whose servers get no requests.
  std::set<std::string> evacuated;

  bool operator==(const OperatorState&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_OPERATOR_STATE_H_
