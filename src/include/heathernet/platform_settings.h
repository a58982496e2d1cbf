#ifndef HEATHERNET_PLATFORM_SETTINGS_H_
#define HEATHERNET_PLATFORM_SETTINGS_H_

#include <cstdint>
#include <string>

#include "heatherlever/instant.h"

namespace heathernet {

/// Where the platform's services listen and how much of them one process uses.
struct PlatformSettings {
  /// IP address and port of the table, object store and host list.
  std::string address;
  std::uint16_t port = 0;
  /// Names this process in the rows that settle lost answers. No two live
  /// processes may share it: use the host's name and incarnation.
  std::string client_id;
  /// Longest time that one call may take, waits and repeats included.
  heatherlever::Duration call_deadline = std::chrono::seconds(2);
  /// Longest time to wait for one answer, within call_deadline.
  heatherlever::Duration answer_timeout = std::chrono::milliseconds(700);
  /// Requests a second to the platform, and how many may go at once.
  double reads_per_second = 20.0;
  double read_burst = 40.0;
  double writes_per_second = 5.0;
  double write_burst = 10.0;
  /// Bounds of the exponential back-off with full jitter between attempts.
  heatherlever::Duration backoff_base = std::chrono::milliseconds(20);
  heatherlever::Duration backoff_limit = std::chrono::milliseconds(500);
  /// Seed of the jitter and of the write identifiers.
  std::uint64_t seed = 1;
};

}  // namespace heathernet

#endif  // HEATHERNET_PLATFORM_SETTINGS_H_
