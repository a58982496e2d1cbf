#ifndef HEATHERLEVER_CONNECTION_CHOICE_H_
#define HEATHERLEVER_CONNECTION_CHOICE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace heatherlever {

/// What to do for a request to a backend server.
enum class ConnectionAction {
  /// Send on the connection of the choice.
  kReuse,
  /// Open a new connection and send on it.
  kOpen,
  /// Send nothing: every connection that this host may have is busy.
  kAtLimit,
};

/// Names of the actions, indexed by ConnectionAction.
inline constexpr std::array<std::string_view, 3> kConnectionActionNames = {
    "reuse", "open", "at-limit"};

/// Name of an action.
constexpr std::string_view ConnectionActionName(ConnectionAction action) {
  return kConnectionActionNames[static_cast<std::size_t>(action)];
}

/// The connection for one request.
struct ConnectionChoice {
  ConnectionAction action = ConnectionAction::kOpen;
  /// For kReuse: which connection.
  std::uint64_t connection = 0;
  /// Connections to close first; ConnectionLimits no longer tracks them.
  std::vector<std::uint64_t> to_close;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CONNECTION_CHOICE_H_
