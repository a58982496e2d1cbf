#ifndef HEATHER_ENTRY_ENTRY_SETTINGS_H_
#define HEATHER_ENTRY_ENTRY_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "heatherlever/instant.h"

namespace heather_entry {

/// Settings of one entry host, from its YAML file; docs/CONFIGURATION.md lists
/// the keys.
struct EntrySettings {
  std::string name;
  std::string region;
  std::string domain;
  /// IPv4 address of all three ports.
  std::string address;
  /// Port for callers; 0 takes a free one.
  std::uint16_t http_port = 0;
  /// Port for other entry hosts; 0 takes a free one.
  std::uint16_t peer_port = 0;
  /// Port for operators: state, metrics, health; 0 takes a free one.
  std::uint16_t admin_port = 0;
  std::string platform_address;
  std::uint16_t platform_port = 0;
  /// Time between two reads of the configuration and the epoch.
  heatherlever::Duration poll_interval{0};
  /// Threads that serve callers' connections, one each.
  int caller_threads = 0;
  /// Threads that wait for backend servers, one a request.
  int backend_threads = 0;
  /// Longest time that a graceful shutdown waits for requests.
  heatherlever::Duration shutdown_limit{0};
  /// A connection to a backend server that has not answered for this long
  /// carries no non-idempotent work.
  heatherlever::Duration connection_doubt{0};
  std::string log_level;
};

/// Reads the settings. An InvalidArgument status names file, line, what was
/// expected and what was found.
absl::StatusOr<EntrySettings> LoadEntrySettings(const std::string& path);

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_ENTRY_SETTINGS_H_
