#ifndef HEATHER_SIMULATE_LOAD_OUTCOME_H_
#define HEATHER_SIMULATE_LOAD_OUTCOME_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heather_simulate {

/// Final outcome of a caller's request over all of its attempts. kInTarget and
/// kLate were served, within the target latency or after it.
enum class CallerOutcome { kInTarget, kLate, kRejected, kFailed };

/// Number of requests by outcome.
struct OutcomeCounts {
  std::size_t in_target = 0;
  std::size_t late = 0;
  std::size_t rejected = 0;
  std::size_t failed = 0;

  void Add(CallerOutcome outcome);
  void Add(const OutcomeCounts& other);
  std::size_t total() const { return in_target + late + rejected + failed; }
  /// Share of requests served within the target; 1 if there were no requests.
  double in_target_share() const;
};

/// Result of simulating a load pattern.
struct LoadOutcome {
  /// Counts by kind of work, then by the window in which a request started.
  std::map<std::string, std::map<std::size_t, OutcomeCounts>> by_kind;
  /// A served request: region of its caller, region in which it ran, and time
  /// of the response.
  struct Served {
    std::string caller_region;
    std::string serving_region;
    heatherlever::Instant served_at{0};
  };
  std::vector<Served> served;
  /// By service: callers' attempts, and sends of hosts beyond the first for
  /// each attempt.
  std::map<std::string, std::vector<heatherlever::Instant>> attempts;
  std::map<std::string, std::vector<heatherlever::Instant>> retries;
  /// By server: arrivals of requests during its cold start.
  std::map<std::string, std::vector<heatherlever::Instant>> cold_arrivals;

  OutcomeCounts Total() const;
  OutcomeCounts TotalOf(const std::string& kind) const;
  /// Counts by window, over all kinds of work.
  std::map<std::size_t, OutcomeCounts> Windows() const;
};

/// Maximum number of events within any interval of length `span`.
std::size_t MaxWithin(std::vector<heatherlever::Instant> instants,
                      heatherlever::Duration span);

/// Maximum share of a caller region's requests that run in another region than
/// in the preceding span. Spans advance by a quarter of their length; those
/// with fewer than `min_requests` requests are skipped.
double MaxShiftChange(const LoadOutcome& outcome,
                      heatherlever::Duration span,
                      std::size_t min_requests);

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_LOAD_OUTCOME_H_
