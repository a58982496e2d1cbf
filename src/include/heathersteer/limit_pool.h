#ifndef HEATHERSTEER_LIMIT_POOL_H_
#define HEATHERSTEER_LIMIT_POOL_H_

#include <map>
#include <string>

#include "heatherlever/instant.h"
#include "heathersteer/limit_summary.h"

namespace heathersteer {

/// Sums the limit summaries of several sources: of the hosts of a domain, or of
/// several domains. A summary counts until its source is silent for too long.
class LimitPool {
 public:
  /// Replaces the summary of `source`.
  void Record(const std::string& source,
              LimitSummary summary,
              heatherlever::Instant now);

  /// Demand is added up; of several observations the newest counts, of several
  /// incarnations of a server the newest.
  LimitSummary Sum(heatherlever::Instant now);

 private:
  struct Source {
    LimitSummary summary;
    heatherlever::Instant recorded_at{0};
  };

  std::map<std::string, Source> sources_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_LIMIT_POOL_H_
