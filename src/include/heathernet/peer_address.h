#ifndef HEATHERNET_PEER_ADDRESS_H_
#define HEATHERNET_PEER_ADDRESS_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace heathernet {

/// Where an entry host listens for its peers: an IP number and a TCP port.
struct PeerAddress {
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const PeerAddress& other) const {
    return std::tie(ip, port) == std::tie(other.ip, other.port);
  }
  bool operator<(const PeerAddress& other) const {
    return std::tie(ip, port) < std::tie(other.ip, other.port);
  }
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_ADDRESS_H_
