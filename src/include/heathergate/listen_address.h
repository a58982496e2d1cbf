#ifndef HEATHERGATE_LISTEN_ADDRESS_H_
#define HEATHERGATE_LISTEN_ADDRESS_H_

#include <cstdint>
#include <string>

namespace heathergate {

/// Where a server listens: the first free port from `port` to `last_port`, or
/// `port` only if `last_port` is not above it.
struct ListenAddress {
  /// Names the server in logs and metrics.
  std::string purpose;
  /// An IP address.
  std::string address;
  std::uint16_t port = 0;
  std::uint16_t last_port = 0;
};

}  // namespace heathergate

#endif  // HEATHERGATE_LISTEN_ADDRESS_H_
