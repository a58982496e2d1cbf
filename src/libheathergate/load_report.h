#ifndef LIBHEATHERGATE_LOAD_REPORT_H_
#define LIBHEATHERGATE_LOAD_REPORT_H_

#include <optional>
#include <string_view>

namespace heathergate {

/// What a backend server says of its load with an answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// Parses "running,waiting,slots"; nothing for any other text.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_LOAD_REPORT_H_
