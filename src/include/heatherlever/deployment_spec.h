#ifndef HEATHERLEVER_DEPLOYMENT_SPEC_H_
#define HEATHERLEVER_DEPLOYMENT_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>
#include "heatherlever/backend_spec.h"
#include "heatherlever/block_spec.h"
#include "heatherlever/drain_spec.h"
#include "heatherlever/kind_spec.h"
#include "heatherlever/link_spec.h"
#include "heatherlever/region_spec.h"
#include "heatherlever/rule_spec.h"

namespace heatherlever {

/// One whole configuration of a deployment, checked: every name that it uses
/// is declared. Its source form is YAML; see docs/CONFIGURATION.md.
struct DeploymentSpec {
  std::string name;
  std::vector<RegionSpec> regions;
  std::vector<LinkSpec> links;
  std::vector<KindSpec> kinds;
  std::vector<BackendSpec> backends;
  std::vector<RuleSpec> rules;
  std::vector<DrainSpec> drains;
  std::vector<BlockSpec> blocks;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_DEPLOYMENT_SPEC_H_
