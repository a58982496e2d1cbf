#ifndef LIBHEATHERGATE_LOAD_REPORT_H_
#define LIBHEATHERGATE_LOAD_REPORT_H_

#include <optional>
#include <string_view>

namespace heathergate {

/// Load that a backend server reports with a response.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// Parses "running,waiting,slots". Returns nothing for any other text.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_LOAD_REPORT_H_
