#ifndef HEATHERSTEER_OPERATOR_STATE_H_
#define HEATHERSTEER_OPERATOR_STATE_H_

#include <cstdint>
#include <set>
#include <string>

#include "heathersteer/store_version.h"

namespace heathersteer {

/// The operator's settings in the store, as of one version of it.
struct OperatorState {
  /// Version of the store; zero before the first read.
  StoreVersion version;
  /// The encoded configuration; empty if there is none.
  std::string document;
  /// Version that the operator gave to the configuration; 0 if there is none.
  std::uint64_t document_version = 0;
  /// Evacuated failure domains: their servers get no requests.
  std::set<std::string> evacuated;

  bool operator==(const OperatorState&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_OPERATOR_STATE_H_
