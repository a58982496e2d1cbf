#ifndef HEATHERLEVER_BACKEND_REPORT_H_
#define HEATHERLEVER_BACKEND_REPORT_H_

#include <string>

namespace heatherlever {

/// A load report of a backend server. Only a hint: it orders servers that are
/// otherwise alike, and never frees a slot.
struct BackendReport {
  std::string backend;
  int in_flight = 0;
  bool healthy = true;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_BACKEND_REPORT_H_
