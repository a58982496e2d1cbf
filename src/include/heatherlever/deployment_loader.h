#ifndef HEATHERLEVER_DEPLOYMENT_LOADER_H_
#define HEATHERLEVER_DEPLOYMENT_LOADER_H_

#include <absl/status/statusor.h>

#include <string>

namespace heatherlever {

struct DeploymentSpec;

/// Reads and checks a whole configuration from YAML text. `file` names the
/// source in messages. An InvalidArgument status tells file, line, what was
/// expected and what was found; nothing is half read. docs/CONFIGURATION.md
/// lists every key.
absl::StatusOr<DeploymentSpec> LoadDeployment(const std::string& text,
                                              const std::string& file);

}  // namespace heatherlever

#endif  // HEATHERLEVER_DEPLOYMENT_LOADER_H_
