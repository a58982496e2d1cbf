#ifndef HEATHERSTEER_LOAD_BOARD_H_
#define HEATHERSTEER_LOAD_BOARD_H_

#include <cstddef>
#include <map>
#include <string>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Load reports of backend servers that other hosts have not been told of: the
/// newest one of each server.
class LoadBoard {
 public:
  /// What a server reported.
  struct Report {
    /// Requests that it held.
    int requests = 0;
    heatherlever::Instant at{0};

    bool operator==(const Report&) const = default;
  };

  /// By the servers' ids.
  using Reports = std::map<std::string, Report>;

  void Note(const std::string& server_id, const Report& report);

  /// Removes and returns up to `most` reports; none is passed over for good.
  Reports Take(std::size_t most);

 private:
  Reports pending_;
  // Where the next Take begins.
  std::string next_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_LOAD_BOARD_H_
