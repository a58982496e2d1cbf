#include "libheathernet/program.h"

#include <unistd.h>

#include <chrono>
#include <iostream>

#include "libheathernet/line_formatter.h"
#include "libheathernet/output_writer.h"

namespace heathernet {
namespace {

// Maximum time that the end of a process waits for a slow reader.
constexpr auto kErrorTimeout = std::chrono::milliseconds(200);

// Does not block when nobody reads standard error.
void WriteError(const std::string& program, const std::string& message) {
  OutputWriter output(STDERR_FILENO);
  output.Write(program + ": " + EscapeControls(message) + "\n");
  output.Finish(kErrorTimeout);
}

int Run(cxxopts::Options& options,
        int argc,
        char** argv,
        const std::function<int(const cxxopts::ParseResult&)>& body) {
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("version") != 0) {
    std::cout << HEATHER_VERSION << "\n";
    return 0;
  }
  return body(parsed);
}

}  // namespace

int RunProgram(cxxopts::Options options,
               int argc,
               char** argv,
               const std::function<int(const cxxopts::ParseResult&)>& body) {
  options.add_options()("version", "print the version")("help",
                                                        "print this help");
  try {
    return Run(options, argc, argv, body);
  } catch (const BadInput& error) {
    WriteError(options.program(), error.what());
    return kExitBadInput;
  } catch (const cxxopts::exceptions::exception& error) {
    WriteError(options.program(), std::string(error.what()) + "; see --help");
    return kExitBadInput;
  } catch (const std::exception& error) {
    WriteError(options.program(), error.what());
    return kExitFailure;
  }
}

std::string ConfigPath(const cxxopts::ParseResult& parsed) {
  if (parsed.count("config") == 0) {
    throw BadInput("--config FILE is missing; see --help");
  }
  return parsed["config"].as<std::string>();
}

}  // namespace heathernet
