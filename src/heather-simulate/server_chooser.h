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

/// Strategy that chooses a server for a request.
class ServerChooser {
 public:
  virtual ~ServerChooser() = default;
  /// Returns a choice without a server if the request has to be queued.
  virtual heathersteer::PlacementChoice Choose(
      const heathersteer::ServerTable& table,
      const heathersteer::PlacementRequest& request,
      heatherlever::Instant now) = 0;
};

/// Strategies that can be compared.
enum class ChooserKind {
  /// heathersteer::Placement, as in production.
  kPlacement,
  /// A random server, whatever its load.
  kRandom,
  /// The server with the lowest estimated load per slot; servers in the local
  /// region are preferred.
  kLeastLoaded,
};

/// The kind with this name; nullopt if there is none.
std::optional<ChooserKind> ChooserFromName(std::string_view name);

/// Names of all kinds.
std::vector<std::string> ChooserNames();

/// Creates a chooser. `placement` and `random` have to outlive it. `region` is
/// the region of the host.
std::unique_ptr<ServerChooser> MakeChooser(
    ChooserKind kind,
    const heathersteer::Placement& placement,
    const std::string& region,
    std::mt19937_64& random);

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_SERVER_CHOOSER_H_
