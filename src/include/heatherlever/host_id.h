#ifndef HEATHERLEVER_HOST_ID_H_
#define HEATHERLEVER_HOST_ID_H_

#include <compare>
#include <cstdint>
#include <string>

namespace heatherlever {

/// One life of an entry host's process. A restarted process has forgotten
/// everything and gets a higher incarnation.
struct HostId {
  std::string name;
  std::uint64_t incarnation = 0;

  auto operator<=>(const HostId&) const = default;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_HOST_ID_H_
