#ifndef LIBHEATHERNET_PROGRAM_H_
#define LIBHEATHERNET_PROGRAM_H_

#include <cxxopts.hpp>
#include <functional>
#include <stdexcept>
#include <string>

namespace heathernet {

/// Exit codes that all programs share.
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadInput = 2;

/// Input that a program cannot use; ends it with kExitBadInput.
class BadInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Reads the command line, answers --help and --version, and runs `body`,
/// whose result is the exit code. Exceptions are printed with the program's
/// name: BadInput and a wrong command line give kExitBadInput, all others
/// kExitFailure.
int RunProgram(cxxopts::Options options,
               int argc,
               char** argv,
               const std::function<int(const cxxopts::ParseResult&)>& body);

/// The value of --config. Throws BadInput if it is missing.
std::string ConfigPath(const cxxopts::ParseResult& parsed);

}  // namespace heathernet

#endif  // LIBHEATHERNET_PROGRAM_H_
