#ifndef HEATHERSTEER_HOST_REGISTRATION_H_
#define HEATHERSTEER_HOST_REGISTRATION_H_

#include <cstdint>
#include <string>

#include "heathersteer/store_version.h"

namespace heathersteer {

/// Registration of an entry host, written when the host starts.
struct HostRegistration {
  std::string name;
  std::string region;
  std::string domain;
  /// Address and port to which callers connect.
  std::string caller_endpoint;
  /// Address and port for relay requests of other entry hosts.
  std::string relay_address;
  std::uint16_t relay_port = 0;
  /// Version of the registration; grows with each start of any host.
  StoreVersion registration_version;

  bool operator==(const HostRegistration&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_HOST_REGISTRATION_H_
