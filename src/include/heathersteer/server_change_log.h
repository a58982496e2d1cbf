#ifndef HEATHERSTEER_SERVER_CHANGE_LOG_H_
#define HEATHERSTEER_SERVER_CHANGE_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "heathersteer/backend_server.h"
#include "heathersteer/server_delta.h"

namespace heathersteer {

/// Numbers the changes of a list of backend servers, so that a host that
/// follows gets only what is new to it.
class ServerChangeLog {
 public:
  /// Takes in the list after a change.
  void Update(const std::vector<BackendServer>& servers);

  /// Number of the last change; 0 before the first list.
  std::uint64_t sequence() const { return sequence_; }

  /// The same for two lists of the same servers in the same states, whichever
  /// hosts keep them; 0 before the first list.
  std::uint64_t digest() const { return digest_; }

  /// What changed after `sequence`. The whole list for 0, and where that
  /// change is no longer known.
  ServerDelta Since(std::uint64_t sequence) const;

 private:
  struct Entry {
    BackendServer server;
    std::uint64_t changed_at = 0;
  };

  void TrimRemovals();

  std::map<std::string, Entry> entries_;
  // Ids by the number of the change with which they went.
  std::multimap<std::uint64_t, std::string> removed_;
  std::uint64_t sequence_ = 0;
  std::uint64_t digest_ = 0;
  // Removals up to this change may be forgotten.
  std::uint64_t trimmed_through_ = 0;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_SERVER_CHANGE_LOG_H_
