#ifndef HEATHERLEVER_HOST_ID_H_
#define HEATHERLEVER_HOST_ID_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace heatherlever {

/// One life of an entry host's process. A restarted process has forgotten
/// everything and gets a higher incarnation.
struct HostId {
  std::string name;
  std::uint64_t incarnation = 0;

  bool operator==(const HostId&) const = default;

  friend bool operator<(const HostId& left, const HostId& right) {
    return std::tie(left.name, left.incarnation) <
           std::tie(right.name, right.incarnation);
  }
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_HOST_ID_H_
