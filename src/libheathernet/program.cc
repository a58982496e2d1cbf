#include "libheathernet/program.h"

#include <iostream>

namespace heathernet {
namespace {

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
    std::cerr << options.program() << ": " << error.what() << "\n";
    return kExitBadInput;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << options.program() << ": " << error.what() << "; see --help\n";
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << options.program() << ": " << error.what() << "\n";
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
