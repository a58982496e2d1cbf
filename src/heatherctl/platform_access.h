#ifndef HEATHERCTL_PLATFORM_ACCESS_H_
#define HEATHERCTL_PLATFORM_ACCESS_H_

#include <memory>
#include <stdexcept>
#include <string>

namespace heathernet {
class PlatformClient;
}

namespace heatherctl {

/// Input that cannot be used; ends the command with kExitBadInput.
class InputError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A client of the platform at `address`, such as 127.0.0.1:2379. Throws
/// InputError for other text.
std::unique_ptr<heathernet::PlatformClient> ConnectPlatform(
    const std::string& address);

/// The text of a file. Throws InputError if it cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace heatherctl

#endif  // HEATHERCTL_PLATFORM_ACCESS_H_
