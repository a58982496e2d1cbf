#ifndef HEATHERNET_PEER_RESULT_H_
#define HEATHERNET_PEER_RESULT_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "heathernet/peer_headers.h"

namespace heathernet {

/// How a call to a peer ended.
enum class PeerOutcome {
  /// The whole answer arrived; status, headers and body are set.
  kAnswered,
  /// The peer's handler has not seen the request, and never will.
  kNotSent,
  /// The peer's handler may have seen the request.
  kUnknown,
};

/// Names of the outcomes, indexed by PeerOutcome.
inline constexpr std::array<std::string_view, 3> kPeerOutcomeNames = {
    "answered", "not_sent", "unknown"};

/// Name of an outcome.
constexpr std::string_view PeerOutcomeName(PeerOutcome outcome) {
  return kPeerOutcomeNames[static_cast<std::size_t>(outcome)];
}

/// The end of a call.
struct PeerResult {
  PeerOutcome outcome = PeerOutcome::kUnknown;
  /// Why there is no answer, for logs; empty with kAnswered.
  std::string detail;
  int status = 0;
  PeerHeaders headers;
  std::string body;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_RESULT_H_
