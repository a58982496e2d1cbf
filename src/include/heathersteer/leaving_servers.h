#ifndef HEATHERSTEER_LEAVING_SERVERS_H_
#define HEATHERSTEER_LEAVING_SERVERS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Remembers which incarnations of backend servers have stated that they are
/// leaving, whether they are listed or not. A statement holds until the end of
/// its incarnation.
class LeavingServers {
 public:
  /// Maximum number of incarnations; the oldest statements are dropped first.
  static constexpr std::size_t kMaxIncarnations = 4096;

  /// Records a statement. Returns whether it is the first of this incarnation;
  /// false for `started_ms` 0, which identifies none.
  bool Record(const std::string& id,
              std::int64_t started_ms,
              heatherlever::Instant now);

  /// Time of the first statement of an incarnation; nothing if it made none.
  std::optional<heatherlever::Instant> Since(const std::string& id,
                                             std::int64_t started_ms) const;

 private:
  using Incarnation = std::pair<std::string, std::int64_t>;

  std::map<Incarnation, heatherlever::Instant> since_;
  // In the order of their statements.
  std::deque<Incarnation> order_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_LEAVING_SERVERS_H_
