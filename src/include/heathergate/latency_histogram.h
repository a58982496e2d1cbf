#ifndef HEATHERGATE_LATENCY_HISTOGRAM_H_
#define HEATHERGATE_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "heatherlever/instant.h"

namespace heathergate {

/// A histogram of durations from 0.1 ms to 100 s, with five buckets per decade.
class LatencyHistogram {
 public:
  /// Number of durations up to a limit, as in the Prometheus text format.
  struct Bucket {
    double limit_s = 0;
    std::uint64_t count = 0;
  };

  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Record(heatherlever::Duration latency);

  /// Buckets in the order of their limits, with cumulative counts.
  std::vector<Bucket> Cumulative() const;

  std::uint64_t count() const;

  /// Sum of all durations, in seconds.
  double sum_s() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heathergate

#endif  // HEATHERGATE_LATENCY_HISTOGRAM_H_
