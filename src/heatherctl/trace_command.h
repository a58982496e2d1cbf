#ifndef HEATHERCTL_TRACE_COMMAND_H_
#define HEATHERCTL_TRACE_COMMAND_H_

namespace heatherctl {

struct CommandLine;

/// `trace ID FILE...`: explains the end of a request by hosts' logs.
int RunTrace(const CommandLine& line);

}  // namespace heatherctl

#endif  // HEATHERCTL_TRACE_COMMAND_H_
