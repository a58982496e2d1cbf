#include "heatherctl/config_commands.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "heatherctl/command.h"
#include "heatherctl/config_publish.h"
#include "heatherctl/platform_access.h"
#include "heatherlever/config_record.h"
#include "heatherlever/deployment_loader.h"
#include "heatherlever/deployment_spec.h"
#include "heathernet/config_store.h"
#include "heathernet/platform_client.h"

namespace heatherctl {

using heathernet::ConfigStore;

namespace {

std::string FileArgument(const CommandLine& line) {
  if (line.arguments.size() != 1) {
    throw InputError("one configuration file is wanted; see --help");
  }
  return line.arguments.front();
}

// The checked text of a configuration file.
std::string CheckedText(const std::string& file) {
  std::string text = ReadFile(file);
  CheckConfig(text, file);
  return text;
}

}  // namespace

int RunCheck(const CommandLine& line) {
  const std::string file = FileArgument(line);
  const std::string text = CheckedText(file);
  if (!line.json) {
    std::cout << file << " is valid\n";
    return kExitOk;
  }
  const auto spec = heatherlever::LoadDeployment(text, file);
  nlohmann::json backends = nlohmann::json::array();
  for (const heatherlever::BackendSpec& backend : spec->backends) {
    backends.push_back({{"name", backend.name},
                        {"service", backend.service},
                        {"region", backend.region},
                        {"domain", backend.domain},
                        {"address", backend.address},
                        {"port", backend.port},
                        {"slots", backend.slots}});
  }
  nlohmann::json regions = nlohmann::json::array();
  for (const heatherlever::RegionSpec& region : spec->regions) {
    regions.push_back({{"name", region.name}, {"domains", region.domains}});
  }
  std::cout << nlohmann::json{{"name", spec->name},
                              {"regions", regions},
                              {"backends", backends}}
            << "\n";
  return kExitOk;
}

int RunDiff(const CommandLine& line) {
  const std::string text = CheckedText(FileArgument(line));
  const auto client = ConnectPlatform(line.platform);
  const auto newest = ConfigStore(*client).Newest();
  PrintDiff(newest ? newest->yaml : "", text);
  return kExitOk;
}

int RunApply(const CommandLine& line) {
  const std::string text = CheckedText(FileArgument(line));
  const auto client = ConnectPlatform(line.platform);
  ConfigStore store(*client);
  std::int64_t expected = line.expect_version;
  if (expected < 0) {
    const auto newest = store.Newest();
    if (newest && newest->yaml == text) {
      return PrintResult(line, "unchanged", newest->version, kExitOk);
    }
    expected = newest ? newest->version : 0;
  }
  return PublishConfig(line, store, expected, text);
}

}  // namespace heatherctl
