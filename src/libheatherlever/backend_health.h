#ifndef HEATHERLEVER_BACKEND_HEALTH_H_
#define HEATHERLEVER_BACKEND_HEALTH_H_

#include "heatherlever/instant.h"
#include "heatherlever/pool_options.h"

namespace heatherlever {

/// What the owner itself saw of one backend server, and its ejections.
class BackendHealth {
 public:
  explicit BackendHealth(const PoolOptions& options);

  /// Smoothed latency; zero before the first answer.
  Duration latency() const { return latency_; }
  /// Whether enough answers were seen to compare the latency.
  bool has_latency() const;
  bool ejected() const { return ejected_; }
  /// Whether it is back from an ejection and has not answered since: it gets
  /// one request at a time.
  bool on_probation() const { return on_probation_; }
  /// Whether it gets idempotent work only, until `idempotent_only_until`.
  bool idempotent_only() const { return idempotent_only_; }
  Instant idempotent_only_until() const { return idempotent_only_until_; }
  /// End of the present ejection.
  Instant ejected_until() const { return ejected_until_; }

  void OnResponse(Duration latency);
  /// An attempt failed, or took far longer than expected without any answer
  /// of the server since the last one that did.
  void OnFailure();

  /// Whether the server is an outlier that an ejection is due for.
  bool IsOutlier(Duration median_latency) const;

  /// Ejects the server: each time for twice as long, until it has run well.
  void Eject(Instant now);
  /// Ends the ejection. The next failure in a row ejects again.
  void EndEjection(Instant now);
  /// Lets the server have non-idempotent work on probation.
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
