#ifndef HEATHERLEVER_PLACEMENT_REQUEST_H_
#define HEATHERLEVER_PLACEMENT_REQUEST_H_

#include <cstddef>
#include <cstdint>

namespace heatherlever {

/// A request that has to be placed in a region.
struct PlacementRequest {
  /// Index of the kind of work in the configuration.
  std::size_t kind = 0;
  /// The caller's IPv4 address, in host byte order.
  std::uint32_t client_address = 0;
  /// Expected size of the request and of its answer, in bytes.
  std::uint32_t request_bytes = 0;
  std::uint32_t answer_bytes = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_PLACEMENT_REQUEST_H_
