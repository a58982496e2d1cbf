#ifndef HEATHERSTEER_OPERATOR_STATE_H_
#define HEATHERSTEER_OPERATOR_STATE_H_

#include <cstdint>
#include <set>
#include <string>

namespace heathersteer {

/// The operator's settings in the store, as of one version of it.
struct OperatorState {
  /// Version of the store; 0 before the first read.
  std::uint64_t version = 0;
  /// The encoded configuration; empty if there is none.
  std::string document;
  /// Evacuated failure domains: their servers get no requests.
  std::set<std::string> evacuated;

  bool operator==(const OperatorState&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_OPERATOR_STATE_H_
