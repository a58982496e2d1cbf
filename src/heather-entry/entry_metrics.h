#ifndef HEATHER_ENTRY_ENTRY_METRICS_H_
#define HEATHER_ENTRY_ENTRY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "heathergate/latency_histogram.h"
#include "heatherlever/instant.h"
#include "heatherlever/request_outcome.h"

namespace heather_entry {

struct WorkAnswer;

/// Counts of the requests that callers sent to this entry host. Every function
/// may be called from any thread. docs/OPERATING.md lists the metrics.
class EntryMetrics {
 public:
  /// A request of a kind has ended, `latency` after it arrived here.
  void OnAnswer(const std::string& kind,
                const WorkAnswer& answer,
                heatherlever::Duration latency);

  /// The metrics in the Prometheus text format.
  std::string Text() const;

 private:
  struct KindMetrics {
    std::array<std::uint64_t, heatherlever::kRequestOutcomeNames.size()>
        outcomes{};
    std::map<std::string, std::uint64_t> refusals;
    heathergate::LatencyHistogram latency;
  };

  mutable std::mutex mutex_;
  std::map<std::string, KindMetrics> kinds_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_ENTRY_METRICS_H_
