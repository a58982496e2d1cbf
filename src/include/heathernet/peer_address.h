#ifndef HEATHERNET_PEER_ADDRESS_H_
#define HEATHERNET_PEER_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace heathernet {

/// Where an entry host listens for its peers: an IP number and a TCP port.
struct PeerAddress {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const PeerAddress&) const = default;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_ADDRESS_H_
