#ifndef HEATHER_LOAD_REQUEST_RESULT_H_
#define HEATHER_LOAD_REQUEST_RESULT_H_

#include <string>

#include "heatherlever/instant.h"

namespace heather_load {

struct Arrival;

/// How a request ended for its caller.
enum class ResultClass { kDone, kNotRun, kUnknown, kBroken };

/// What the caller of one request saw.
struct RequestResult {
  const Arrival* arrival = nullptr;
  /// kBroken: an answer that is not whole, or not this request's.
  ResultClass result = ResultClass::kUnknown;
  /// From the arrival, not from the sending, to the end.
  heatherlever::Duration latency{0};
  /// Idempotency-Key; empty for idempotent work.
  std::string key;
  std::string reason;
};

}  // namespace heather_load

#endif  // HEATHER_LOAD_REQUEST_RESULT_H_
