#ifndef HEATHERCTL_DRAIN_COMMANDS_H_
#define HEATHERCTL_DRAIN_COMMANDS_H_

namespace heatherctl {

struct CommandLine;

/// `drain SELECTOR`: adds a drain to the newest configuration, by
/// compare-and-swap.
int RunDrain(const CommandLine& line);

/// `undrain NAME`: takes a drain out of the newest configuration, likewise.
int RunUndrain(const CommandLine& line);

}  // namespace heatherctl

#endif  // HEATHERCTL_DRAIN_COMMANDS_H_
