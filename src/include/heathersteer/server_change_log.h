#ifndef HEATHERSTEER_SERVER_CHANGE_LOG_H_
#define HEATHERSTEER_SERVER_CHANGE_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "heathersteer/backend_server.h"
#include "heathersteer/server_delta.h"

namespace heathersteer {

/// Numbers the changes of a list of backend servers, so that a following host
/// gets only the changes that it lacks.
class ServerChangeLog {
 public:
  /// Records the list after a change.
  void Update(const std::vector<BackendServer>& servers);

  /// Sequence number of the last change; 0 before the first list.
  std::uint64_t sequence() const { return sequence_; }

  /// Digest of the list: equal on all hosts for the same servers in the same
  /// states; 0 before the first list.
  std::uint64_t digest() const { return digest_; }

  /// Returns the changes after `sequence`; the full list for 0 and if the
  /// changes since then are no longer known.
  ServerDelta Since(std::uint64_t sequence) const;

 private:
  struct Entry {
    BackendServer server;
    std::uint64_t changed_at = 0;
  };

  void TrimRemovals();

  std::map<std::string, Entry> entries_;
  // Ids of removed servers by the sequence number of their removal.
  std::multimap<std::uint64_t, std::string> removed_;
  std::uint64_t sequence_ = 0;
  std::uint64_t digest_ = 0;
  // Removals up to this sequence number may have been dropped.
  std::uint64_t trimmed_through_ = 0;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_CHANGE_LOG_H_
