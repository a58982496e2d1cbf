#ifndef HEATHERNET_PEER_HEADERS_H_
#define HEATHERNET_PEER_HEADERS_H_

#include <map>
#include <string>

namespace heathernet {

/// Headers by name in lower case, one value a name.
using PeerHeaders = std::map<std::string, std::string>;

}  // namespace heathernet

#endif  // HEATHERNET_PEER_HEADERS_H_
