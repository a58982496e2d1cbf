#ifndef HEATHERSTEER_SERVER_BACKOFFS_H_
#define HEATHERSTEER_SERVER_BACKOFFS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Remembers until when incarnations of backend servers want no requests from
/// this host, whether they are listed or not.
class ServerBackoffs {
 public:
  /// Maximum time from a response to the end of its backoff.
  static constexpr heatherlever::Duration kMaxDelay = std::chrono::hours(1);
  /// Maximum number of incarnations; the backoffs that end first are dropped.
  static constexpr std::size_t kMaxIncarnations = 4096;

  /// Records that an incarnation wants no requests for `delay`. Returns the end
  /// of its backoff. `started_ms` 0 identifies no incarnation, so that nothing
  /// is remembered.
  heatherlever::Instant Record(const std::string& id,
                               std::int64_t started_ms,
                               std::chrono::duration<double> delay,
                               heatherlever::Instant now);

  /// End of the backoff of an incarnation; 0 if none is known.
  heatherlever::Instant Until(const std::string& id,
                              std::int64_t started_ms) const;

 private:
  using Incarnation = std::pair<std::string, std::int64_t>;

  void Trim(heatherlever::Instant now);

  std::map<Incarnation, heatherlever::Instant> until_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_BACKOFFS_H_
