// The operators' program.

#include <cxxopts.hpp>
#include <iostream>

#include "heatherctl/command.h"
#include "heatherctl/platform_access.h"
#include "heatherlever/nearest_word.h"
#include "heathernet/platform_error.h"

namespace heatherctl {

namespace {

std::string HelpText() {
  std::string text = "Commands:\n";
  for (const Command& command : Commands()) {
    text += "  " + command.name + " " + command.arguments + "\n      " +
            command.help + "\n";
  }
  return text +
         "\nExamples:\n"
         "  heatherctl check examples/vatuwaqa/deployment.yaml\n"
         "  heatherctl --platform 127.0.0.1:2379 apply deployment.yaml\n"
         "  heatherctl drain 'region = viti-west' --ramp 30s\n"
         "  heatherctl dump 127.0.1.1:9000\n\n"
         "Exit codes: 0 done, 1 failure, 2 bad input, 3 conflict, 4 platform "
         "unavailable\n";
}

const Command& FindCommand(const std::string& name) {
  std::vector<std::string> names;
  for (const Command& command : Commands()) {
    if (command.name == name) {
      return command;
    }
    names.push_back(command.name);
  }
  throw InputError("no command is named '" + name + "'" +
                   heatherlever::NearestWordHint(name, names));
}

int Main(int argc, char** argv) {
  cxxopts::Options options("heatherctl", "Operates a heatherlever deployment.");
  options.positional_help("COMMAND [ARGUMENT...]");
  auto add = options.add_options();
  add("platform", "address and port of the platform",
      cxxopts::value<std::string>()->default_value("127.0.0.1:2379"));
  add("json", "print JSON instead of a table");
  add("expect-version", "apply: the version to replace",
      cxxopts::value<std::int64_t>()->default_value("-1"));
  add("name", "drain: its name (default: drain-1, drain-2, ...)",
      cxxopts::value<std::string>()->default_value(""));
  add("ramp", "drain: time over which traffic is moved away, such as 30s",
      cxxopts::value<std::string>()->default_value(""));
  add("words", "the command and its arguments",
      cxxopts::value<std::vector<std::string>>());
  add("version", "print the version");
  add("help", "print this help");
  options.parse_positional({"words"});
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("version") != 0) {
    std::cout << HEATHER_VERSION << "\n";
    return kExitOk;
  }
  if (parsed.count("help") != 0 || parsed.count("words") == 0) {
    std::cout << options.help() << "\n" << HelpText();
    return parsed.count("help") != 0 ? kExitOk : kExitBadInput;
  }
  const auto& words = parsed["words"].as<std::vector<std::string>>();
  CommandLine line;
  line.arguments.assign(words.begin() + 1, words.end());
  line.platform = parsed["platform"].as<std::string>();
  line.json = parsed.count("json") != 0;
  line.expect_version = parsed["expect-version"].as<std::int64_t>();
  line.name = parsed["name"].as<std::string>();
  line.ramp = parsed["ramp"].as<std::string>();
  return FindCommand(words.front()).run(line);
}

}  // namespace
}  // namespace heatherctl

int main(int argc, char** argv) {
  using heathernet::PlatformError;
  try {
    return heatherctl::Main(argc, argv);
  } catch (const heatherctl::InputError& error) {
    std::cerr << "heatherctl: " << error.what() << "\n";
    return heatherctl::kExitBadInput;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "heatherctl: " << error.what() << "; see --help\n";
    return heatherctl::kExitBadInput;
  } catch (const PlatformError& error) {
    std::cerr << "heatherctl: " << error.what() << "\n";
    return heatherctl::kExitUnavailable;
  } catch (const std::exception& error) {
    std::cerr << "heatherctl: " << error.what() << "\n";
    return heatherctl::kExitFailure;
  }
}
