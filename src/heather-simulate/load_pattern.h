#ifndef HEATHER_SIMULATE_LOAD_PATTERN_H_
#define HEATHER_SIMULATE_LOAD_PATTERN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heather_simulate {

/// A region with its failure domains; each domain has the same number of hosts.
struct PatternRegion {
  std::string name;
  std::vector<std::string> domains;
  int hosts_per_domain = 1;
};

/// A service and its backend servers.
struct PatternService {
  std::string name;
  int slots = 1;
  /// Maximum number of requests that a server queues when its slots are in use;
  /// further ones are rejected.
  int max_queued = 0;
  /// Number of recently handled objects that a server keeps warm.
  int warm_objects = 0;
  /// Factor on the work for a request about a warm object.
  double warm_work_factor = 1;
  /// Time after its start during which a server can take only
  /// `cold_rate_per_s` requests a second.
  heatherlever::Duration cold_start{0};
  double cold_rate_per_s = 1;
  /// Number of servers by failure domain.
  std::map<std::string, int> servers;
};

/// A kind of work and its callers.
struct PatternKind {
  std::string name;
  std::string service;
  /// Priority; 0 is the most urgent.
  int rank = 0;
  bool idempotent = false;
  /// Service time at an unloaded server past its cold start, for an object that
  /// is not warm.
  heatherlever::Duration work{0};
  heatherlever::Duration target{0};
  /// Time after which the caller gives up.
  heatherlever::Duration deadline{0};
  int objects = 1;
  /// Maximum number of attempts of a caller after the first.
  int retries = 0;
  /// Maximum number of servers to which a host sends one attempt.
  int max_attempts = 1;
  /// Requests per second by the callers' region.
  std::map<std::string, double> rates;
};

/// Kind of event during a pattern.
enum class EventKind {
  /// The rate of a kind of work changes to `percent` of its usual value.
  kBurst,
  /// The servers of a domain stop without deregistration and restart cold.
  kDomainLoss,
  /// All entry hosts restart and lose their state.
  kHostRestart,
  /// `count` cold servers are added to a service, in its largest domain.
  kScaleOut,
};

struct PatternEvent {
  EventKind kind = EventKind::kBurst;
  heatherlever::Instant at{0};
  heatherlever::Duration duration{0};
  /// Name of the affected kind of work, domain or service.
  std::string subject;
  int percent = 100;
  int count = 0;
};

/// A load on a deployment, and the events during it.
struct LoadPattern {
  std::string name;
  std::uint64_t seed = 1;
  heatherlever::Duration duration{0};
  /// Length of the time windows that the report lists.
  heatherlever::Duration window{0};
  /// One-way network delays: within a domain, between domains of a region, and
  /// between regions.
  heatherlever::Duration domain_delay{0};
  heatherlever::Duration region_delay{0};
  heatherlever::Duration inter_region_delay{0};
  /// Time until hosts learn of added and removed servers.
  heatherlever::Duration propagation_delay{0};
  double retry_ratio = 0;
  double retry_extra = 0;
  /// Whether hosts throttle kinds of work whose requests run into their
  /// deadlines.
  bool throttling = true;
  std::vector<PatternRegion> regions;
  std::vector<PatternService> services;
  std::vector<PatternKind> kinds;
  std::vector<PatternEvent> events;
};

/// Reads a pattern from a YAML file; docs/CONFIGURATION.md describes its keys.
/// Throws heatherlever::SettingsError with file and line.
LoadPattern ReadPattern(const std::string& path);

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_LOAD_PATTERN_H_
