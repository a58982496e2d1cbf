#ifndef HEATHERSTEER_PLACEMENT_H_
#define HEATHERSTEER_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/cold_rate_parts.h"
#include "heathersteer/placement_options.h"
#include "heathersteer/server_table.h"

namespace heathersteer {

struct Route;
struct Service;
class ShiftLimiter;
class SteeringRules;

/// Input of a placement decision.
struct PlacementRequest {
  const Route* route = nullptr;
  const Service* service = nullptr;
  /// Identifies the object that the request is about; empty if there is none.
  std::string_view affinity_key;
  /// Ids of servers to which the request was already sent; may be nullptr.
  const std::vector<std::string>* tried = nullptr;
  /// The operators' rules and the index of the one that applies; nullptr if
  /// there are none.
  const SteeringRules* rules = nullptr;
  std::optional<std::size_t> rule_index;
  /// Whether the request counts as demand of the servers that it prefers; to be
  /// set the first time that a server is chosen for it.
  bool counts_as_demand = false;
  /// Limits changes of the share of shifted requests; nullptr for no limit.
  const ShiftLimiter* shift_limiter = nullptr;
};

/// Result of a placement decision.
struct PlacementChoice {
  /// nullptr if no server has free capacity.
  std::shared_ptr<ServerState> server;
  /// Number of usable servers, with or without free capacity.
  int candidate_count = 0;
  /// The first choice for the request's key, with or without free capacity;
  /// nullptr if no server is usable.
  std::shared_ptr<ServerState> preferred;
  /// Whether the request would be shifted by free capacity alone, without the
  /// shift limiter.
  bool would_shift = false;
  /// Time until the first server may get a request if all usable servers are at
  /// their rate limits, are cold or want none from this host; otherwise 0.
  heatherlever::Duration limited_for{0};
  /// Whether that server is cold, so that a rate limit alone isn't the reason.
  bool limited_by_cold = false;
  /// Time until the first server may get a request if all usable servers, those
  /// that the request was already sent to included, want none from this host;
  /// otherwise 0.
  heatherlever::Duration backoff_left{0};
  /// Whether too many servers of the local region are suspended, cold or
  /// evacuated.
  bool region_impaired = false;
};

/// Chooses a backend server for a request: rendezvous hashing by affinity key
/// over the service's servers with bounded load; closer servers weigh more.
class Placement {
 public:
  explicit Placement(PlacementOptions options)
      : options_(std::move(options)), cold_parts_(options_) {}

  PlacementChoice Choose(const ServerTable& table,
                         const PlacementRequest& request,
                         heatherlever::Instant now) const;

  /// Counts a request that is sent to `server`.
  void Commit(ServerState& server, heatherlever::Instant now);

  /// Whether a request that `server` was chosen for may be written to it now,
  /// by what became known since. `was_cold` tells whether the server was cold
  /// when it was chosen. Requests to cold servers count from now on.
  static bool ConfirmSend(ServerState& server,
                          bool was_cold,
                          heatherlever::Instant now);

  /// Sets the number of hosts that share servers' rate limits; 0 if it isn't
  /// known.
  void set_host_count(int hosts) { options_.host_count = hosts; }

  /// Sets whether any server may have become cold without this host knowing.
  void set_servers_uncertain(bool uncertain) { servers_uncertain_ = uncertain; }

  /// The hosts that share the request rates of cold servers.
  ColdRateParts& cold_parts() { return cold_parts_; }

  /// Number of requests that were sent to cold servers.
  std::uint64_t cold_sends() const { return cold_sends_; }

  /// Maximum number of concurrent requests at `server` for `route`.
  double ConcurrencyLimit(const ServerState& server,
                          const Route& route,
                          heatherlever::Instant now) const;

 private:
  struct Candidate {
    std::shared_ptr<ServerState> server;
    double score = 0;
  };

  // Servers by whether they have stated that they are leaving.
  enum class ServerGroup { kStaying, kLeaving };

  // The best server so far among those of the local or of remote regions.
  struct BestServer {
    std::shared_ptr<ServerState> server;
    // Position in the sorted candidates, for servers with a free slot.
    std::size_t position = 0;
    bool has_free_slot = false;
    double utilization = 1;
  };

  void CountDemand(const std::vector<Candidate>& ranked,
                   heatherlever::Instant now) const;
  heatherlever::Duration ColdTimeToSend(ServerState& state,
                                        const Service& service,
                                        heatherlever::Instant now) const;
  heatherlever::Duration TimeToSend(ServerState& state,
                                    heatherlever::Instant now) const;
  void UpdateBest(const Candidate& candidate,
                  std::size_t rank,
                  const Route& route,
                  heatherlever::Instant now,
                  BestServer& option) const;
  const BestServer& ChooseRegion(const PlacementRequest& request,
                                 const BestServer& local,
                                 const BestServer& remote,
                                 bool local_usable,
                                 heatherlever::Instant now,
                                 PlacementChoice& choice) const;
  bool RegionImpaired(const ServerTable& table,
                      const Service& service,
                      heatherlever::Instant now) const;
  std::vector<Candidate> SortedCandidates(const ServerTable& table,
                                          const PlacementRequest& request,
                                          ServerGroup group,
                                          heatherlever::Instant now) const;
  // Time until the first of the candidates may get a request again, or of all
  // eligible servers if there are no candidates.
  heatherlever::Duration BackoffLeft(const std::vector<Candidate>& ranked,
                                     const ServerTable& table,
                                     const PlacementRequest& request,
                                     heatherlever::Instant now) const;
  // Whether a server belongs to a group and may get requests in it.
  bool MayServe(const ServerState& state,
                ServerGroup group,
                heatherlever::Instant now) const;
  double Weight(const ServerState& server, heatherlever::Instant now) const;

  PlacementOptions options_;
  ColdRateParts cold_parts_;
  bool servers_uncertain_ = false;
  std::uint64_t cold_sends_ = 0;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_PLACEMENT_H_
