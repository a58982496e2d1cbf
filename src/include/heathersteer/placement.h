#ifndef HEATHERSTEER_PLACEMENT_H_
#define HEATHERSTEER_PLACEMENT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/placement_options.h"
#include "heathersteer/server_table.h"

namespace heathersteer {

struct Route;
struct Service;
class ShiftLimiter;
class SteeringRules;

/// What a request needs to be placed.
struct PlacementRequest {
  const Route* route = nullptr;
  const Service* service = nullptr;
  /// Identifies the object that the request concerns; empty if it has none.
  std::string_view affinity_key;
  /// Servers that have had the request already.
  const std::vector<std::string>* tried = nullptr;
  /// The operators' rules, and the one that applies; nullptr if there are none.
  const SteeringRules* rules = nullptr;
  std::optional<std::size_t> rule_index;
  /// Paces the share of requests that leave the region; nullptr for none.
  const ShiftLimiter* shift_limiter = nullptr;
};

/// Where a request goes, or why it goes nowhere now.
struct PlacementChoice {
  /// nullptr if no server has room.
  std::shared_ptr<ServerState> server;
  /// Usable servers, with or without room.
  int candidate_count = 0;
  /// The first choice for the request's key, with or without room; nullptr if
  /// no server is usable.
  std::shared_ptr<ServerState> preferred;
  /// Whether the request would leave the region by room alone, whatever the
  /// pace of shifts says.
  bool would_shift = false;
  /// Whether servers of the own region are impaired: suspended, cold or
  /// evacuated.
  bool region_impaired = false;
};

/// Chooses a backend server for a request: rendezvous hashing by affinity key
/// over the service's servers, near ones weighted higher, with bounded load.
class Placement {
 public:
  explicit Placement(PlacementOptions options) : options_(std::move(options)) {}

  PlacementChoice Choose(const ServerTable& table,
                         const PlacementRequest& request,
                         heatherlever::Instant now) const;

  /// Counts a request that is sent to a server.
  void Commit(ServerState& server,
              const Service& service,
              heatherlever::Instant now) const;

  /// Number of hosts that share the rate of cold servers.
  void set_host_count(int hosts) { options_.host_count = hosts; }

  /// Most requests that `server` is to hold at a time for `route`.
  double ConcurrencyLimit(const ServerState& server,
                          const Route& route,
                          heatherlever::Instant now) const;

 private:
  struct Candidate {
    std::shared_ptr<ServerState> server;
    double score = 0;
  };

  // The best server so far among those of the own region, or of others.
  struct BestServer {
    std::shared_ptr<ServerState> server;
    // Place in the ranks, for servers with a free slot.
    std::size_t position = 0;
    bool has_free_slot = false;
    double utilization = 1;
  };

  void UpdateBest(const Candidate& candidate,
                  std::size_t rank,
                  const Route& route,
                  heatherlever::Instant now,
                  BestServer& option) const;
  const BestServer& ChooseRegion(const PlacementRequest& request,
                                 const BestServer& near,
                                 const BestServer& far,
                                 bool near_usable,
                                 heatherlever::Instant now,
                                 PlacementChoice& choice) const;
  bool RegionImpaired(const ServerTable& table,
                      const Service& service,
                      heatherlever::Instant now) const;
  std::vector<Candidate> SortedCandidates(const ServerTable& table,
                                          const PlacementRequest& request,
                                          heatherlever::Instant now) const;
  heatherlever::Duration ColdInterval(const Service& service) const;
  double Weight(const ServerState& server, heatherlever::Instant now) const;

  PlacementOptions options_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_PLACEMENT_H_
