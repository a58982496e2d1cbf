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
  /// Requests that a server queues beyond its slots; more are shed.
  int max_queued = 0;
  /// Objects that a server handled last and works faster on.
  int warm_objects = 0;
  /// Part of the work that a warm object takes.
  double warm_work_factor = 1;
  /// Time after its start in which a server bears only `cold_rate_per_s`.
  heatherlever::Duration cold_start{0};
  double cold_rate_per_s = 1;
  /// Servers by failure domain.
  std::map<std::string, int> servers;
};

/// A kind of work and who asks for it.
struct PatternKind {
  std::string name;
  std::string service;
  /// 0 is the most urgent.
  int rank = 0;
  bool idempotent = false;
  /// Time at a warm-up-free, unloaded server.
  heatherlever::Duration work{0};
  heatherlever::Duration target{0};
  /// Time after which the caller has left.
  heatherlever::Duration deadline{0};
  int objects = 1;
  /// Attempts after the first that a caller makes.
  int retries = 0;
  /// Servers to which one attempt may be sent.
  int max_attempts = 1;
  /// Requests a second by the callers' region.
  std::map<std::string, double> rates;
};

/// What happens during a pattern.
enum class EventKind {
  /// `percent` of a kind's usual rate.
  kBurst,
  /// A domain's servers stop without a word and come back cold.
  kDomainLoss,
  /// All entry hosts stop and start again with empty memories.
  kHostRestart,
  /// `count` empty servers are added to a service, in its largest domain.
  kScaleOut,
};

struct PatternEvent {
  EventKind kind = EventKind::kBurst;
  heatherlever::Instant at{0};
  heatherlever::Duration duration{0};
  /// Name of the kind of work, domain or service that it concerns.
  std::string subject;
  int percent = 100;
  int count = 0;
};

/// A load on a deployment, with what happens meanwhile.
struct LoadPattern {
  std::string name;
  std::uint64_t seed = 1;
  heatherlever::Duration duration{0};
  /// Length of the rows of the table.
  heatherlever::Duration window{0};
  /// One-way delays.
  heatherlever::Duration domain_delay{0};
  heatherlever::Duration region_delay{0};
  heatherlever::Duration inter_region_delay{0};
  /// Time until hosts know of a server that came or went.
  heatherlever::Duration propagation_delay{0};
  double retry_ratio = 0;
  double retry_extra = 0;
  /// Whether hosts reject requests of kinds that run out of time.
  bool throttling = true;
  std::vector<PatternRegion> regions;
  std::vector<PatternService> services;
  std::vector<PatternKind> kinds;
  std::vector<PatternEvent> events;
};

/// Reads a pattern; docs/CONFIGURATION.md describes the keys. Throws
/// heatherlever::SettingsError, which names file and line.
LoadPattern ReadPattern(const std::string& path);

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_LOAD_PATTERN_H_
