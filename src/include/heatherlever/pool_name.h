#ifndef HEATHERLEVER_POOL_NAME_H_
#define HEATHERLEVER_POOL_NAME_H_

#include <string>
#include <string_view>

namespace heatherlever {

/// Name of the pool of a service in a region, such as levelview@viti-west.
std::string PoolName(std::string_view service, std::string_view region);

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_NAME_H_
