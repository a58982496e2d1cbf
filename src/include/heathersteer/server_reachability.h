#ifndef HEATHERSTEER_SERVER_REACHABILITY_H_
#define HEATHERSTEER_SERVER_REACHABILITY_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "heatherlever/instant.h"

namespace heathersteer {

/// Decides whether this host is cut off from all backend servers. Failed
/// connections to several servers only raise the suspicion, since servers fail,
/// too; trial connections to others settle it. A first round asks few servers,
/// and a second one many, as most of the servers may have failed.
class ServerReachability {
 public:
  /// Records that a server did not respond to a connection.
  void RecordUnreachable(const std::string& server_id,
                         heatherlever::Instant now);

  /// Whether a round of trial connections is due.
  bool ShouldTry(heatherlever::Instant now) const;

  /// Number of servers of the round that is due.
  std::size_t TrialCount() const;

  /// Records the result of a round of trial connections to `server_ids`.
  /// Returns whether cut_off() has changed.
  bool RecordTrials(const std::vector<std::string>& server_ids,
                    bool any_connected,
                    heatherlever::Instant now);

  bool cut_off() const { return cut_off_; }

  /// Servers that lately did not respond; empty again once one is reachable.
  std::vector<std::string> unreachable() const;

 private:
  // Time of the last failure, by server.
  std::map<std::string, heatherlever::Instant> unreachable_;
  heatherlever::Instant tried_at_{0};
  // Whether the first round has failed.
  bool first_round_failed_ = false;
  bool cut_off_ = false;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_REACHABILITY_H_
