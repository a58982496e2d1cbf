#ifndef HEATHERSTEER_LIMIT_SUMMARY_H_
#define HEATHERSTEER_LIMIT_SUMMARY_H_

#include <vector>

#include "heathersteer/limit_report.h"

namespace heathersteer {

/// Rate limits of backend servers and the demand of a number of hosts.
struct LimitSummary {
  /// Number of hosts that reported, with or without demand.
  int hosts = 0;
  /// At most one a server.
  std::vector<LimitReport> reports;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_LIMIT_SUMMARY_H_
