#ifndef HEATHERSTEER_SERVER_RATE_LIMIT_H_
#define HEATHERSTEER_SERVER_RATE_LIMIT_H_

#include "heatherlever/instant.h"
#include "heathersteer/rate_meter.h"
#include "heathersteer/token_bucket.h"

namespace heathersteer {

struct LimitReport;

/// The request rate that a backend server accepts from all hosts together, as
/// the server last stated it, and this host's part of it.
///
/// Each host has an equal part. Hosts that know each other's demand pool their
/// parts and divide them by demand.
class ServerRateLimit {
 public:
  /// Records the limit in requests/s that a response stated; 0 if it stated
  /// none. Returns whether the limit has changed; observations that are not
  /// newer than the last one are ignored.
  bool Observe(double requests_per_s, heatherlever::Instant observed_at);

  /// Limit in requests/s; 0 if there is none.
  double limit() const { return limit_; }

  /// Counts a request that would be sent to the server without a limit.
  void CountDemand(heatherlever::Instant now) { demand_.Count(now); }

  /// Whether other hosts are to be informed of this host's observations and
  /// demand.
  bool ShouldReport(heatherlever::Instant now) const;

  /// Adds this host's observation and demand to `report`.
  void Report(LimitReport& report, heatherlever::Instant now);

  /// Takes over what `hosts` of the `host_count` hosts that share the limit,
  /// this one included, reported together. Returns whether the limit has
  /// changed.
  bool Apply(const LimitReport& sum,
             int hosts,
             int host_count,
             heatherlever::Instant now);

  /// Time until this host may send a request; 0 without a limit. `host_count`
  /// hosts share the limit; 0 while it isn't known, and this host has no part.
  /// `phase` in [0, 1) is this host's part of a token when the limit becomes
  /// known, so that the hosts do not send together.
  heatherlever::Duration TimeToSend(heatherlever::Instant now,
                                    int host_count,
                                    double phase);

  /// Counts a request that is sent.
  void Take();

 private:
  bool SetLimit(double requests_per_s, heatherlever::Instant observed_at);
  double HostPart(heatherlever::Instant now, int host_count) const;

  double limit_ = 0;
  heatherlever::Instant observed_at_{0};
  // Time at which the last limit ended.
  heatherlever::Instant ended_at_{0};
  // What the newest response to this host stated.
  double local_limit_ = 0;
  heatherlever::Instant local_observed_at_{0};
  RateMeter demand_;
  double reported_demand_ = 0;
  // What the reporting hosts reported together.
  double total_demand_ = 0;
  int reporting_hosts_ = 0;
  heatherlever::Instant total_received_at_{0};
  TokenBucket bucket_;
  bool bucket_started_ = false;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_RATE_LIMIT_H_
