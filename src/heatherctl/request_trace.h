#ifndef HEATHERCTL_REQUEST_TRACE_H_
#define HEATHERCTL_REQUEST_TRACE_H_

#include <string>
#include <vector>

namespace heatherctl {

/// What the log lines of entry hosts tell of one request.
struct RequestTrace {
  /// Lines that name the request, in their order.
  std::vector<std::string> own;
  /// What was believed of its servers and the configuration before its end.
  std::vector<std::string> context;
  /// What the reason of its end means; empty if the lines do not tell the end.
  std::string meaning;
};

/// Finds a request by its id in log lines of one or more hosts. The lines may
/// carry prefixes of their own.
RequestTrace TraceRequest(const std::string& id,
                          const std::vector<std::string>& lines);

}  // namespace heatherctl

#endif  // HEATHERCTL_REQUEST_TRACE_H_
