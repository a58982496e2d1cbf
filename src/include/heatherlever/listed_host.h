#ifndef HEATHERLEVER_LISTED_HOST_H_
#define HEATHERLEVER_LISTED_HOST_H_

#include <cstdint>
#include <string>

namespace heatherlever {

/// One line of the platform's list of hosts, which lags.
struct ListedHost {
  std::string id;
  std::string region;
  std::string failure_domain;
  std::string ip;
  std::uint16_t port = 0;
  bool leaving = false;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LISTED_HOST_H_
