#ifndef HEATHERLEVER_BACKEND_HEALTH_H_
#define HEATHERLEVER_BACKEND_HEALTH_H_

#include "heatherlever/instant.h"
#include "heatherlever/pool_options.h"

namespace heatherlever {

/// Passive health checking of one backend server by the pool's owner, and the
/// server's ejections.
class BackendHealth {
 public:
  explicit BackendHealth(const PoolOptions& options);

  /// Smoothed latency; zero before the first response.
  Duration latency() const { return latency_; }
  /// Whether there were enough responses to compare the latency.
  bool has_latency() const;
  bool ejected() const { return ejected_; }
  /// Whether its ejection has ended and it has not responded since: it gets one
  /// request at a time.
  bool on_probation() const { return on_probation_; }
  /// Whether it gets idempotent work only, until `idempotent_only_until`.
  bool idempotent_only() const { return idempotent_only_; }
  Instant idempotent_only_until() const { return idempotent_only_until_; }
  /// End of the present ejection.
  Instant ejected_until() const { return ejected_until_; }

  void OnResponse(Duration latency);
  /// An attempt failed, or is overdue and the server has not responded to
  /// anything since the attempt started.
  void OnFailure();

  /// Whether the server is an outlier that should be ejected.
  bool IsOutlier(Duration median_latency) const;

  /// Ejects the server. Each ejection lasts twice as long as the last one,
  /// until the server has run well for long enough.
  void Eject(Instant now);
  /// Ends the ejection. A single further failure makes the server an outlier
  /// again.
  void EndEjection(Instant now);
  /// Allows non-idempotent work during probation.
  void AllowAnyWork() { idempotent_only_ = false; }

 private:
  const PoolOptions* options_;
  Duration latency_{0};
  int responses_ = 0;
  int consecutive_failures_ = 0;
  int ejections_ = 0;
  bool ejected_ = false;
  Instant ejected_until_{0};
  bool on_probation_ = false;
  bool idempotent_only_ = false;
  Instant idempotent_only_until_{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_BACKEND_HEALTH_H_
