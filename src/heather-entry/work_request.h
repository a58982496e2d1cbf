#ifndef HEATHER_ENTRY_WORK_REQUEST_H_
#define HEATHER_ENTRY_WORK_REQUEST_H_

#include <cstdint>
#include <string>

#include "heatherlever/instant.h"

namespace heather_entry {

/// One request of a caller, as entry hosts pass it on.
struct WorkRequest {
  /// Names the exchange; every answer to it has to carry the same.
  std::string exchange_id;
  /// Name of the kind of work.
  std::string kind;
  /// IPv4 address of the caller, in host byte order.
  std::uint32_t client_address = 0;
  /// Idempotency-Key of the caller; empty if it sent none.
  std::string key;
  /// Time left until the caller's deadline when this value was made.
  heatherlever::Duration remaining{0};
  std::string content_type;
  std::string body;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_WORK_REQUEST_H_
