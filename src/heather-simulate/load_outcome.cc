#include "heather-simulate/load_outcome.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace heather_simulate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

using Shares = std::map<std::string, double>;

// Spans slide by this part of their length.
constexpr int kSlidesPerSpan = 4;

// Shares of the regions in which requests of one region ran from `begin` on;
// empty if there were too few.
Shares SharesWithin(const std::vector<LoadOutcome::Served>& served,
                    const std::string& from,
                    Instant begin,
                    Duration span,
                    std::size_t least) {
  std::map<std::string, std::size_t> counts;
  std::size_t total = 0;
  for (const LoadOutcome::Served& each : served) {
    if (each.caller_region == from && each.served_at >= begin &&
        each.served_at < begin + span) {
      ++counts[each.serving_region];
      ++total;
    }
  }
  Shares shares;
  if (total < std::max<std::size_t>(1, least)) {
    return shares;
  }
  for (const auto& [region, count] : counts) {
    shares[region] = static_cast<double>(count) / static_cast<double>(total);
  }
  return shares;
}

// Part of the requests that have changed their region.
double ChangedShare(const Shares& before, const Shares& after) {
  Shares differences = after;
  for (const auto& [region, share] : before) {
    differences[region] -= share;
  }
  double moved = 0;
  for (const auto& [region, difference] : differences) {
    moved += std::abs(difference) / 2;
  }
  return moved;
}

}  // namespace

void OutcomeCounts::Add(RequestEnd end) {
  switch (end) {
    case RequestEnd::kInTarget:
      ++in_target;
      return;
    case RequestEnd::kLate:
      ++late;
      return;
    case RequestEnd::kRejected:
      ++rejected;
      return;
    case RequestEnd::kFailed:
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
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < instants.size(); ++last) {
    while (instants[last] - instants[first] >= span) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

double MaxShiftChange(const LoadOutcome& outcome,
                      Duration span,
                      std::size_t least) {
  std::set<std::string> regions;
  Instant end{0};
  for (const LoadOutcome::Served& each : outcome.served) {
    regions.insert(each.caller_region);
    end = std::max(end, each.served_at);
  }
  double largest = 0;
  for (const std::string& region : regions) {
    for (Instant begin{0}; begin + 2 * span <= end;
         begin += span / kSlidesPerSpan) {
      const Shares before =
          SharesWithin(outcome.served, region, begin, span, least);
      const Shares after =
          SharesWithin(outcome.served, region, begin + span, span, least);
      if (!before.empty() && !after.empty()) {
        largest = std::max(largest, ChangedShare(before, after));
      }
    }
  }
  return largest;
}

}  // namespace heather_simulate
