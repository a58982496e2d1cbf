#include "heathersteer/limit_pool.h"

#include <chrono>
#include <utility>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time after which the summary of a silent source no longer counts; about twice
// the maximum time between two relay requests.
constexpr Duration kSourceTimeout = std::chrono::seconds(2);

void Add(const LimitReport& report, LimitReport& sum) {
  if (report.started_ms != sum.started_ms) {
    if (report.started_ms > sum.started_ms) {
      sum = report;
    }
    return;
  }
  sum.demand += report.demand;
  if (report.observed_at > sum.observed_at) {
    sum.limit = report.limit;
    sum.observed_at = report.observed_at;
  }
}

}  // namespace

void LimitPool::Record(const std::string& source,
                       LimitSummary summary,
                       Instant now) {
  sources_[source] = {std::move(summary), now};
}

LimitSummary LimitPool::Sum(Instant now) {
  std::erase_if(sources_, [&](const auto& entry) {
    return now - entry.second.recorded_at > kSourceTimeout;
  });
  int hosts = 0;
  std::map<std::string, LimitReport> by_server;
  for (const auto& [name, source] : sources_) {
    hosts += source.summary.hosts;
    for (const LimitReport& report : source.summary.reports) {
      const auto [entry, added] =
          by_server.try_emplace(report.server_id, report);
      if (!added) {
        Add(report, entry->second);
      }
    }
  }
  LimitSummary sum{.hosts = hosts, .reports = {}};
  for (auto& [id, report] : by_server) {
    sum.reports.push_back(std::move(report));
  }
  return sum;
}

}  // namespace heathersteer
