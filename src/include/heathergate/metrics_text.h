#ifndef HEATHERGATE_METRICS_TEXT_H_
#define HEATHERGATE_METRICS_TEXT_H_

#include <string>

namespace heathergate {

class Gateway;

/// Formats the gateway's counters and latency histograms in the Prometheus text
/// format.
std::string MetricsText(const Gateway& gateway);

}  // namespace heathergate

#endif  // HEATHERGATE_METRICS_TEXT_H_
