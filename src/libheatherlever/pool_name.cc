#include "heatherlever/pool_name.h"

namespace heatherlever {

std::string PoolName(std::string_view service, std::string_view region) {
  std::string name(service);
  return name.append("@").append(region);
}

}  // namespace heatherlever
