#include "heatherctl/drain_commands.h"

#include <functional>

#include "heatherctl/command.h"
#include "heatherctl/config_publish.h"
#include "heatherctl/drain_edit.h"
#include "heatherctl/platform_access.h"
#include "heatherlever/config_record.h"
#include "heathernet/config_store.h"
#include "heathernet/platform_client.h"

namespace heatherctl {
namespace {

using Edit = std::function<std::string(const std::string& config)>;

int ChangeNewest(const CommandLine& line, const Edit& edit) {
  const auto client = ConnectPlatform(line.platform);
  heathernet::ConfigStore store(*client);
  const auto newest = store.Newest();
  if (!newest) {
    throw InputError("no configuration was applied yet");
  }
  const std::string changed = edit(newest->yaml);
  CheckConfig(changed, "the changed configuration");
  if (!line.json) {
    PrintDiff(newest->yaml, changed);
  }
  return PublishConfig(line, store, newest->version, changed);
}

}  // namespace

int RunDrain(const CommandLine& line) {
  if (line.arguments.size() != 1) {
    throw InputError("drain wants one selector, such as 'region = viti-west'");
  }
  return ChangeNewest(line, [&line](const std::string& config) {
    NewDrain drain;
    drain.name = line.name.empty() ? FreeDrainName(config) : line.name;
    drain.select = line.arguments.front();
    drain.ramp = line.ramp;
    return AddDrain(config, drain);
  });
}

int RunUndrain(const CommandLine& line) {
  if (line.arguments.size() != 1) {
    throw InputError("undrain wants the name of a drain");
  }
  return ChangeNewest(line, [&line](const std::string& config) {
    return RemoveDrain(config, line.arguments.front());
  });
}

}  // namespace heatherctl
