#ifndef HEATHERSTEER_HOST_REGISTRATION_H_
#define HEATHERSTEER_HOST_REGISTRATION_H_

#include <cstdint>
#include <string>

namespace heathersteer {

/// An entry host, as it registers itself when it starts.
struct HostRegistration {
  std::string name;
  std::string region;
  std::string domain;
  /// Where clients' requests arrive: address and port.
  std::string caller_endpoint;
  /// Where other entry hosts ask: address and port.
  std::string relay_address;
  std::uint16_t relay_port = 0;
  /// Version of the registration; grows with each start of any host.
  std::uint64_t registration_version = 0;

  bool operator==(const HostRegistration&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_HOST_REGISTRATION_H_
