#ifndef HEATHERCTL_COMMAND_H_
#define HEATHERCTL_COMMAND_H_

#include <cstdint>
#include <string>
#include <vector>

namespace heatherctl {

/// Exit codes; docs/OPERATING.md lists them.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadInput = 2;
inline constexpr int kExitConflict = 3;
inline constexpr int kExitUnavailable = 4;

/// What the command line said.
struct CommandLine {
  /// Words after the command's name.
  std::vector<std::string> arguments;
  /// IPv4 address and port of the platform, such as 127.0.0.1:2379.
  std::string platform;
  /// Print JSON instead of a table.
  bool json = false;
  /// Version that `apply` replaces; -1 for the newest.
  std::int64_t expect_version = -1;
  /// `drain`: name of the new drain; empty for a free one.
  std::string name;
  /// `drain`: time over which traffic is moved away, such as 30s.
  std::string ramp;
};

/// One command of heatherctl.
struct Command {
  std::string name;
  std::string arguments;
  std::string help;
  int (*run)(const CommandLine& line);
};

/// Every command, in the order of the help text.
const std::vector<Command>& Commands();

}  // namespace heatherctl

#endif  // HEATHERCTL_COMMAND_H_
