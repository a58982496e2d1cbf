#ifndef HEATHERSTEER_COLD_RATE_PARTS_H_
#define HEATHERSTEER_COLD_RATE_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/host_location.h"

namespace heathersteer {

struct BackendServer;
struct PlacementOptions;

/// Divides the request rate of a cold server between all hosts, in whole
/// requests per second. Hosts with the same list of hosts agree on the parts;
/// those close to the server come first.
class ColdRateParts {
 public:
  /// Without a list of hosts this host has no part.
  explicit ColdRateParts(const PlacementOptions& options);

  /// Sets all hosts that share the rates; empty while some may not be known.
  void SetHosts(std::vector<HostLocation> hosts, heatherlever::Instant now);

  /// This host's position for `server` among all hosts, from 0.
  std::size_t Rank(const BackendServer& server) const;

  /// Requests/s of the host at position `rank`, of `requests_per_s`.
  int Part(double requests_per_s, std::size_t rank) const;

  /// Time before which requests still count that an earlier process of this
  /// host has sent.
  heatherlever::Instant earlier_sends_end() const { return earlier_sends_end_; }

  /// Changes with each list; ranks of different generations may differ.
  std::uint64_t generation() const { return generation_; }

 private:
  double Score(const HostLocation& host, const BackendServer& server) const;

  HostLocation self_;
  double other_region_weight_;
  double other_domain_weight_;
  std::vector<HostLocation> hosts_;
  std::uint64_t generation_ = 0;
  heatherlever::Instant earlier_sends_end_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_COLD_RATE_PARTS_H_
