#ifndef HEATHERCTL_HOST_COMMANDS_H_
#define HEATHERCTL_HOST_COMMANDS_H_

namespace heatherctl {

struct CommandLine;

/// `status`: the entry hosts of the epoch in force, as the platform has it.
int RunStatus(const CommandLine& line);

/// `dump ADDRESS:PORT`: the state of the entry host with that admin port.
int RunDump(const CommandLine& line);

/// `explain ADDRESS:PORT KIND CLIENT`: where that entry host would send a
/// request of a client, and why.
int RunExplain(const CommandLine& line);

}  // namespace heatherctl

#endif  // HEATHERCTL_HOST_COMMANDS_H_
