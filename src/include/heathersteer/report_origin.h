#ifndef HEATHERSTEER_REPORT_ORIGIN_H_
#define HEATHERSTEER_REPORT_ORIGIN_H_

#include <cstdint>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Where a list of reports comes from.
struct ReportOrigin {
  /// Timeline of the store; see StoreVersion.
  std::uint64_t timeline = 0;
  /// Time as of which the list is known.
  heatherlever::Instant known_at{0};
  /// Whether this host read it, so that it has each server's last report. Lists
  /// of other hosts leave out reports that change nothing.
  bool from_store = false;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_REPORT_ORIGIN_H_
