#ifndef HEATHERCTL_CONFIG_PUBLISH_H_
#define HEATHERCTL_CONFIG_PUBLISH_H_

#include <cstdint>
#include <string>

namespace heathernet {
class ConfigStore;
}

namespace heatherctl {

struct CommandLine;

/// Throws InputError, naming `file`, unless the text is a valid configuration.
void CheckConfig(const std::string& text, const std::string& file);

/// Prints the difference of two texts, line by line.
void PrintDiff(const std::string& before, const std::string& after);

/// Prints how a write ended; returns `exit_code`.
int PrintResult(const CommandLine& line,
                const std::string& result,
                std::int64_t version,
                int exit_code);

/// Writes the text if version `expected` is still the newest, prints how that
/// ended, and returns the exit code: kExitConflict if another version is the
/// newest, kExitUnavailable if the platform gave no answer.
int PublishConfig(const CommandLine& line,
                  heathernet::ConfigStore& store,
                  std::int64_t expected,
                  const std::string& text);

}  // namespace heatherctl

#endif  // HEATHERCTL_CONFIG_PUBLISH_H_
