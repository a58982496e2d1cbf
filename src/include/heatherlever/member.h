#ifndef HEATHERLEVER_MEMBER_H_
#define HEATHERLEVER_MEMBER_H_

#include <cstdint>
#include <string>

namespace heatherlever {

/// An entry host as a member of an epoch.
struct Member {
  std::string name;
  /// Differs at each start of the process.
  std::uint64_t incarnation = 0;
  std::string region;
  std::string domain;

  friend bool operator==(const Member&, const Member&) = default;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBER_H_
