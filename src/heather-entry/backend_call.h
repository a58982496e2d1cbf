#ifndef HEATHER_ENTRY_BACKEND_CALL_H_
#define HEATHER_ENTRY_BACKEND_CALL_H_

#include <cstdint>
#include <string>

#include "heatherlever/attempt_result.h"
#include "heatherlever/instant.h"

namespace heather_entry {

/// One request to a backend server.
struct BackendCall {
  std::string address;
  std::uint16_t port = 0;
  /// Kind of work, the last part of the path.
  std::string kind;
  std::string exchange_id;
  /// Idempotency-Key; empty for none.
  std::string key;
  /// Time that the server has; it is passed on to it.
  heatherlever::Duration remaining{0};
  bool idempotent = false;
  std::string content_type;
  std::string body;
};

/// The end of a BackendCall. The answer is set, whole and checked, with kOk.
struct BackendReply {
  heatherlever::AttemptResult result = heatherlever::AttemptResult::kFailed;
  /// Why there is no answer, for logs.
  std::string detail;
  std::string content_type;
  std::string body;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_BACKEND_CALL_H_
