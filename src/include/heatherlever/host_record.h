#ifndef HEATHERLEVER_HOST_RECORD_H_
#define HEATHERLEVER_HOST_RECORD_H_

#include <cstdint>
#include <string>

namespace heatherlever {

/// An entry host as the platform's list of hosts shows it. The list lags.
struct HostRecord {
  std::string name;
  /// Grows with each start of the host's process.
  std::uint64_t incarnation = 0;
  /// IP address of both ports.
  std::string address;
  std::uint16_t http_port = 0;
  std::uint16_t peer_port = 0;
  std::string region;
  std::string domain;
  /// The host announced that it stops.
  bool leaving = false;

  bool operator==(const HostRecord&) const = default;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_HOST_RECORD_H_
