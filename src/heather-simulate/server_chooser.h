#ifndef HEATHER_SIMULATE_SERVER_CHOOSER_H_
#define HEATHER_SIMULATE_SERVER_CHOOSER_H_

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "heathersteer/placement.h"

namespace heather_simulate {

/// Chooses a server for a request.
class ServerChooser {
 public:
  virtual ~ServerChooser() = default;
  /// No server in the choice: the request is to wait.
  virtual heathersteer::PlacementChoice Choose(
      const heathersteer::ServerTable& table,
      const heathersteer::PlacementRequest& request,
      heatherlever::Instant now) = 0;
};

/// The ways of choosing that can be compared.
enum class ChooserKind {
  /// The product's own.
  kPlacement,
  /// Any server, whatever its load.
  kRandom,
  /// The server with the least known load for its slots, near ones first.
  kLeastLoaded,
};

/// The kind with this name; nothing if there is none.
std::optional<ChooserKind> ChooserFromName(std::string_view name);

/// Names of all kinds.
std::vector<std::string> ChooserNames();

/// `placement` has to outlive the chooser. `region` is the host's own.
std::unique_ptr<ServerChooser> MakeChooser(
    ChooserKind kind,
    const heathersteer::Placement& placement,
    const std::string& region,
    std::mt19937_64& random);

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_SERVER_CHOOSER_H_
