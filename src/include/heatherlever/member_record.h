#ifndef HEATHERLEVER_MEMBER_RECORD_H_
#define HEATHERLEVER_MEMBER_RECORD_H_

#include <cstdint>
#include <string>

#include "heatherlever/member_version.h"

namespace heatherlever {

/// An entry host as its peers describe it to each other.
struct MemberRecord {
  std::string id;
  std::string region;
  std::string failure_domain;
  /// IP number and TCP port that peers connect to.
  std::string ip;
  std::uint16_t port = 0;
  MemberVersion version;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBER_RECORD_H_
