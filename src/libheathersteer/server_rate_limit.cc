#include "heathersteer/server_rate_limit.h"

#include <algorithm>
#include <chrono>

#include "heathersteer/limit_report.h"

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time for which observations, and the end of a limit, are reported to other
// hosts.
constexpr Duration kReportTime = std::chrono::seconds(10);
// Time after which the hosts' total demand is too old to divide a limit by it.
constexpr Duration kMaxTotalAge = std::chrono::seconds(2);

}  // namespace

bool ServerRateLimit::Observe(double requests_per_s, Instant observed_at) {
  if (observed_at > local_observed_at_) {
    local_limit_ = requests_per_s;
    local_observed_at_ = observed_at;
  }
  return SetLimit(requests_per_s, observed_at);
}

bool ServerRateLimit::SetLimit(double requests_per_s, Instant observed_at) {
  if (observed_at <= observed_at_) {
    return false;
  }
  const bool changed = requests_per_s != limit_;
  if (limit_ == 0) {
    bucket_started_ = false;
  } else if (requests_per_s == 0) {
    ended_at_ = observed_at;
  }
  limit_ = requests_per_s;
  observed_at_ = observed_at;
  return changed;
}

bool ServerRateLimit::ShouldReport(Instant now) const {
  const bool ended_lately =
      ended_at_ != Instant(0) && now - ended_at_ <= kReportTime;
  return limit_ > 0 || ended_lately;
}

void ServerRateLimit::Report(LimitReport& report, Instant now) {
  // Only responses to this host: an observation that went around by several
  // hosts would seem newer each time.
  if (now - local_observed_at_ <= kReportTime) {
    report.limit = local_limit_;
    report.observed_at = local_observed_at_;
  }
  reported_demand_ = demand_.rate_per_s(now);
  report.demand = reported_demand_;
}

bool ServerRateLimit::Apply(const LimitReport& sum,
                            int hosts,
                            int host_count,
                            Instant now) {
  // The part changes with each total, so the tokens due until now are added
  // first.
  if (bucket_started_) {
    bucket_.Refill(HostPart(now, host_count), now);
  }
  total_demand_ = sum.demand;
  reporting_hosts_ = hosts;
  total_received_at_ = now;
  return SetLimit(sum.limit, sum.observed_at);
}

double ServerRateLimit::HostPart(Instant now, int host_count) const {
  const double equal_part = host_count > 0 ? limit_ / host_count : 0;
  if (now - total_received_at_ > kMaxTotalAge || total_demand_ <= 0) {
    return equal_part;
  }
  const double pooled =
      std::min(limit_, equal_part * std::max(1, reporting_hosts_));
  return pooled * reported_demand_ / std::max(total_demand_, reported_demand_);
}

Duration ServerRateLimit::TimeToSend(Instant now,
                                     int host_count,
                                     double phase) {
  if (limit_ == 0) {
    return Duration(0);
  }
  if (!bucket_started_) {
    bucket_started_ = true;
    bucket_.Reset(phase, now);
  }
  const double part = HostPart(now, host_count);
  bucket_.Refill(part, now);
  return bucket_.TimeToToken(part);
}

void ServerRateLimit::Take() {
  if (limit_ > 0) {
    bucket_.Take();
  }
}

}  // namespace heathersteer
