#ifndef HEATHERCTL_COMPLETION_COMMAND_H_
#define HEATHERCTL_COMPLETION_COMMAND_H_

namespace heatherctl {

struct CommandLine;

/// `completion bash`: prints a script that completes heatherctl's words.
int RunCompletion(const CommandLine& line);

}  // namespace heatherctl

#endif  // HEATHERCTL_COMPLETION_COMMAND_H_
