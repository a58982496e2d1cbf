#include "heather-simulate/load_outcome.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace heather_simulate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

using Shares = std::map<std::string, double>;

// Spans advance by 1 / kSlidesPerSpan of their length.
constexpr int kSlidesPerSpan = 4;

// Shares of the regions in which one region's requests ran in the span from
// `begin` on; empty if there were fewer than `min_requests`.
Shares SharesWithin(const std::vector<LoadOutcome::Served>& served,
                    const std::string& caller_region,
                    Instant begin,
                    Duration span,
                    std::size_t min_requests) {
  std::map<std::string, std::size_t> counts;
  std::size_t total = 0;
  for (const LoadOutcome::Served& request : served) {
    if (request.caller_region == caller_region && request.served_at >= begin &&
        request.served_at < begin + span) {
      ++counts[request.serving_region];
      ++total;
    }
  }
  Shares shares;
  if (total < std::max<std::size_t>(1, min_requests)) {
    return shares;
  }
  for (const auto& [region, count] : counts) {
    shares[region] = static_cast<double>(count) / static_cast<double>(total);
  }
  return shares;
}

// Share of the requests that run in another region than before.
double ChangedShare(const Shares& before, const Shares& after) {
  Shares differences = after;
  for (const auto& [region, share] : before) {
    differences[region] -= share;
  }
  double changed = 0;
  for (const auto& [region, difference] : differences) {
    changed += std::abs(difference) / 2;
  }
  return changed;
}

}  // namespace

void OutcomeCounts::Add(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kInTarget:
      ++in_target;
      return;
    case CallerOutcome::kLate:
      ++late;
      return;
    case CallerOutcome::kRejected:
      ++rejected;
      return;
    case CallerOutcome::kFailed:
      ++failed;
      return;
  }
}

void OutcomeCounts::Add(const OutcomeCounts& other) {
  in_target += other.in_target;
  late += other.late;
  rejected += other.rejected;
  failed += other.failed;
}

double OutcomeCounts::in_target_share() const {
  return total() == 0
             ? 1
             : static_cast<double>(in_target) / static_cast<double>(total());
}

OutcomeCounts LoadOutcome::Total() const {
  OutcomeCounts sum;
  for (const auto& [kind, windows] : by_kind) {
    sum.Add(TotalOf(kind));
  }
  return sum;
}

OutcomeCounts LoadOutcome::TotalOf(const std::string& kind) const {
  OutcomeCounts sum;
  const auto found = by_kind.find(kind);
  if (found == by_kind.end()) {
    return sum;
  }
  for (const auto& [window, counts] : found->second) {
    sum.Add(counts);
  }
  return sum;
}

std::map<std::size_t, OutcomeCounts> LoadOutcome::Windows() const {
  std::map<std::size_t, OutcomeCounts> all;
  for (const auto& [kind, windows] : by_kind) {
    for (const auto& [window, counts] : windows) {
      all[window].Add(counts);
    }
  }
  return all;
}

std::size_t MaxWithin(std::vector<Instant> instants, Duration span) {
  std::sort(instants.begin(), instants.end());
  std::size_t max_count = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < instants.size(); ++last) {
    while (instants[last] - instants[first] >= span) {
      ++first;
    }
    max_count = std::max(max_count, last - first + 1);
  }
  return max_count;
}

double MaxShiftChange(const LoadOutcome& outcome,
                      Duration span,
                      std::size_t min_requests) {
  std::set<std::string> regions;
  Instant end{0};
  for (const LoadOutcome::Served& request : outcome.served) {
    regions.insert(request.caller_region);
    end = std::max(end, request.served_at);
  }
  double max_change = 0;
  for (const std::string& region : regions) {
    for (Instant begin{0}; begin + 2 * span <= end;
         begin += span / kSlidesPerSpan) {
      const Shares before =
          SharesWithin(outcome.served, region, begin, span, min_requests);
      const Shares after = SharesWithin(outcome.served, region, begin + span,
                                        span, min_requests);
      if (!before.empty() && !after.empty()) {
        max_change = std::max(max_change, ChangedShare(before, after));
      }
    }
  }
  return max_change;
}

}  // namespace heather_simulate
