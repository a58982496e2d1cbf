#ifndef HEATHER_SIMULATE_LOAD_OUTCOME_H_
#define HEATHER_SIMULATE_LOAD_OUTCOME_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heather_simulate {

/// How a caller's request ended, over all of its attempts.
enum class CallerOutcome { kInTarget, kLate, kRejected, kFailed };

/// Requests by how they ended.
struct OutcomeCounts {
  std::size_t in_target = 0;
  std::size_t late = 0;
  std::size_t rejected = 0;
  std::size_t failed = 0;

  void Add(RequestEnd end);
  void Add(const OutcomeCounts& other);
  std::size_t total() const { return in_target + late + rejected + failed; }
  /// Share that was served within the target; 1 if there were none.
  double in_target_share() const;
};

/// What came of a load pattern.
struct LoadOutcome {
  /// Rows: by kind of work, then by the window in which a request came.
  std::map<std::string, std::map<std::size_t, OutcomeCounts>> by_kind;
  /// Requests that were served, by the callers' region, the instant of the
  /// answer and the region in which they ran.
  struct Served {
    std::string caller_region;
    std::string serving_region;
    heatherlever::Instant served_at{0};
  };
  std::vector<Served> served;
  /// By service: requests of callers, and sends beyond the first of each.
  std::map<std::string, std::vector<heatherlever::Instant>> attempts;
  std::map<std::string, std::vector<heatherlever::Instant>> retries;
  /// By server: arrivals while it was cold.
  std::map<std::string, std::vector<heatherlever::Instant>> cold_arrivals;

  OutcomeCounts Total() const;
  OutcomeCounts TotalOf(const std::string& kind) const;
  /// The windows' counts over all kinds.
  std::map<std::size_t, OutcomeCounts> Windows() const;
};

/// Most events within any span of a length.
std::size_t MaxWithin(std::vector<heatherlever::Instant> instants,
                      heatherlever::Duration span);

/// Largest change of the share of a region's requests that run in each region,
/// from one span to the next. Spans slide by a quarter; those with fewer than
/// `least` requests are left out.
double MaxShiftChange(const LoadOutcome& outcome,
                      heatherlever::Duration span,
                      std::size_t least);

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_LOAD_OUTCOME_H_
