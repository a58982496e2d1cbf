#ifndef HEATHERCTL_CONFIG_COMMANDS_H_
#define HEATHERCTL_CONFIG_COMMANDS_H_

namespace heatherctl {

struct CommandLine;

/// `check FILE`: whether a configuration would be accepted.
int RunCheck(const CommandLine& line);

/// `diff FILE`: how a file differs from the newest accepted version.
int RunDiff(const CommandLine& line);

/// `apply FILE`: makes a file the newest version by compare-and-swap. If
/// another operator was faster, it prints the conflict as a diff.
int RunApply(const CommandLine& line);

}  // namespace heatherctl

#endif  // HEATHERCTL_CONFIG_COMMANDS_H_
