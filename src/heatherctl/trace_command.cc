#include "heatherctl/trace_command.h"

#include <algorithm>
#include <cstddef>
#include <iostream>
#include <string>
#include <vector>

#include "heatherctl/command.h"
#include "heatherctl/platform_access.h"
#include "heatherctl/request_trace.h"
#include "heatherctl/text_lines.h"
#include "libheatherlever/text_file.h"

namespace heatherctl {
namespace {

// Lines of context that are printed, the newest ones.
constexpr std::size_t kMostContext = 20;

std::vector<std::string> ReadLogs(const std::vector<std::string>& arguments) {
  std::vector<std::string> lines;
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    const auto text = heatherlever::ReadTextFile(arguments[i]);
    if (!text) {
      throw InputError("cannot read the log '" + arguments[i] + "'");
    }
    const std::vector<std::string> more = TextLines(*text);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  return lines;
}

}  // namespace

int RunTrace(const CommandLine& line) {
  if (line.arguments.size() < 2) {
    throw InputError("trace needs a request's id and one or more log files");
  }
  const std::string& id = line.arguments.front();
  const RequestTrace trace = TraceRequest(id, ReadLogs(line.arguments));
  if (trace.own.empty()) {
    std::cerr << "no line names request " << id
              << ": it never arrived at these hosts, or its host was killed\n";
    return kExitFailure;
  }
  const std::size_t shown = std::min(trace.context.size(), kMostContext);
  std::cout << "beliefs before (" << shown << " of " << trace.context.size()
            << " lines):\n"
            << JoinLines(
                   {trace.context.end() - static_cast<std::ptrdiff_t>(shown),
                    trace.context.end()})
            << "request:\n"
            << JoinLines(trace.own) << "meaning: "
            << (trace.meaning.empty() ? "its end is not in these logs"
                                      : trace.meaning)
            << "\n";
  return kExitOk;
}

}  // namespace heatherctl
