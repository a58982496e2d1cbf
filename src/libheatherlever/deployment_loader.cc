#include "heatherlever/deployment_loader.h"

#include <algorithm>
#include <limits>
#include <set>

#include "heatherlever/deployment_spec.h"
#include "heatherlever/ipv4.h"
#include "heatherlever/nearest_word.h"
#include "heatherlever/settings_error.h"
#include "libheatherlever/yaml_map.h"

namespace heatherlever {
namespace {

constexpr int kMaxBackendsPerGroup = 10000;
constexpr int kMaxSlots = 100000;
constexpr int kMaxConnections = 1000000;
constexpr int kMaxPort = 65535;
constexpr int kAddressBits = 32;

std::vector<std::string> RankWords() {
  return {kRankNames.begin(), kRankNames.end()};
}

template <typename Spec>
std::vector<std::string> NamesOf(const std::vector<Spec>& specs) {
  std::vector<std::string> names;
  for (const Spec& spec : specs) {
    names.push_back(spec.name);
  }
  return names;
}

// The text of `key`, which has to be one of `words`.
std::string OneOf(YamlMap& map,
                  const std::string& key,
                  const std::string& what,
                  const std::vector<std::string>& words) {
  std::string text = map.Text(key);
  if (std::find(words.begin(), words.end(), text) == words.end()) {
    map.Fail(key, "no " + what + " is named '" + text + "'" +
                      NearestWordHint(text, words));
  }
  return text;
}

std::vector<RegionSpec> ReadRegions(YamlMap& top) {
  std::vector<RegionSpec> regions;
  std::set<std::string> names;
  std::set<std::string> domains;
  for (YamlMap& map : top.Maps("regions", "region")) {
    RegionSpec region;
    region.name = map.UniqueText("name", names);
    region.domains = map.Texts("domains");
    region.labels = map.LabelsOr("labels");
    for (const std::string& domain : region.domains) {
      if (!domains.insert(domain).second) {
        map.Fail("domains", "failure domain '" + domain + "' is listed twice");
      }
    }
    map.Finish();
    regions.push_back(std::move(region));
  }
  if (regions.empty()) {
    top.Fail("regions", "at least one region is needed");
  }
  return regions;
}

std::vector<LinkSpec> ReadLinks(YamlMap& top, const DeploymentSpec& spec) {
  std::vector<LinkSpec> links;
  const std::vector<std::string> regions = NamesOf(spec.regions);
  for (YamlMap& map : top.Maps("links", "link")) {
    LinkSpec link;
    link.from = OneOf(map, "from", "region", regions);
    link.to = OneOf(map, "to", "region", regions);
    if (link.from == link.to) {
      map.Fail("to", "a link joins two different regions");
    }
    link.delay = map.Time("delay");
    link.capacity_mbit_s = map.MegabitRate("capacity");
    link.max_share = map.ShareOr("max_share", link.max_share);
    map.Finish();
    links.push_back(std::move(link));
  }
  return links;
}

std::vector<KindSpec> ReadKinds(YamlMap& top) {
  constexpr Duration kDefaultRetention = std::chrono::minutes(10);
  std::vector<KindSpec> kinds;
  std::set<std::string> names;
  for (YamlMap& map : top.Maps("kinds", "kind of work")) {
    KindSpec kind;
    kind.name = map.UniqueText("name", names);
    kind.labels = map.LabelsOr("labels");
    kind.service = map.Text("service");
    kind.rank = *RankFromName(OneOf(map, "rank", "rank", RankWords()));
    kind.idempotent = map.FlagOr("idempotent", false);
    kind.deadline = map.Time("deadline");
    kind.service_time = map.Time("service_time");
    kind.floor_share = map.ShareOr("floor", 0);
    kind.retention = map.TimeOr("retention", kDefaultRetention);
    if (kind.deadline < kind.service_time) {
      map.Fail("deadline", "the deadline is shorter than the service_time");
    }
    map.Finish();
    kinds.push_back(std::move(kind));
  }
  if (kinds.empty()) {
    top.Fail("kinds", "at least one kind of work is needed");
  }
  return kinds;
}

const RegionSpec& RegionNamed(const DeploymentSpec& spec,
                              const std::string& name) {
  return *std::find_if(
      spec.regions.begin(), spec.regions.end(),
      [&name](const RegionSpec& region) { return region.name == name; });
}

// A group of backend servers: `count` of them on consecutive ports, named
// NAME-1, NAME-2 and so on; a group of one keeps the plain name.
void ReadBackendGroup(YamlMap& map,
                      const DeploymentSpec& spec,
                      std::set<std::string>& names,
                      std::vector<BackendSpec>& backends) {
  BackendSpec backend;
  const std::string name = map.UniqueText("name", names);
  backend.labels = map.LabelsOr("labels");
  backend.service = map.Text("service");
  backend.region = OneOf(map, "region", "region", NamesOf(spec.regions));
  backend.domain = OneOf(map, "domain", "failure domain of the region",
                         RegionNamed(spec, backend.region).domains);
  backend.address = map.Address("address");
  const auto port = map.Number("port", 1, kMaxPort);
  const auto count = map.NumberOr("count", 1, kMaxBackendsPerGroup, 1);
  backend.slots = static_cast<int>(map.Number("slots", 1, kMaxSlots));
  backend.max_connections =
      static_cast<int>(map.Number("max_connections", 1, kMaxConnections));
  map.Finish();
  if (port + count - 1 > kMaxPort) {
    map.Fail("port", "the group's last port is above 65535");
  }
  for (int i = 0; i < count; ++i) {
    backend.name = count == 1 ? name : name + "-" + std::to_string(i + 1);
    backend.port = static_cast<std::uint16_t>(port + i);
    backends.push_back(backend);
  }
}

std::vector<BackendSpec> ReadBackends(YamlMap& top,
                                      const DeploymentSpec& spec) {
  std::vector<BackendSpec> backends;
  std::set<std::string> names;
  for (YamlMap& map : top.Maps("backends", "backend group")) {
    ReadBackendGroup(map, spec, names, backends);
  }
  return backends;
}

std::vector<RuleSpec> ReadRules(YamlMap& top) {
  std::vector<RuleSpec> rules;
  std::set<std::string> names;
  for (YamlMap& map : top.Maps("rules", "rule")) {
    RuleSpec rule;
    rule.name = map.UniqueText("name", names);
    rule.work = map.TextOr("work", "");
    rule.to = map.TextOr("to", "");
    rule.max_shift = map.Share("max_shift");
    map.Finish();
    rules.push_back(std::move(rule));
  }
  return rules;
}

std::vector<DrainSpec> ReadDrains(YamlMap& top) {
  std::vector<DrainSpec> drains;
  std::set<std::string> names;
  for (YamlMap& map : top.Maps("drains", "drain")) {
    DrainSpec drain;
    drain.name = map.UniqueText("name", names);
    drain.select = map.Text("select");
    drain.start_unix_s = map.NumberOr(
        "start_unix_s", 0, std::numeric_limits<std::int64_t>::max(), 0);
    drain.ramp = map.TimeOr("ramp", Duration(0));
    map.Finish();
    drains.push_back(std::move(drain));
  }
  return drains;
}

std::vector<BlockSpec> ReadBlocks(YamlMap& top, const DeploymentSpec& spec) {
  std::vector<BlockSpec> blocks;
  const std::vector<std::string> regions = NamesOf(spec.regions);
  for (YamlMap& map : top.Maps("blocks", "client block")) {
    BlockSpec block;
    const std::string prefix = map.Text("prefix");
    const std::size_t slash = prefix.find('/');
    const auto address = ParseIpv4(prefix.substr(0, slash));
    const int length =
        slash == std::string::npos ? -1 : std::atoi(prefix.c_str() + slash + 1);
    if (!address || length < 0 || length > kAddressBits) {
      map.Fail("prefix", "a prefix such as 10.1.0.0/16 was expected, found '" +
                             prefix + "'");
    }
    block.address = *address;
    block.prefix_length = length;
    block.region = OneOf(map, "region", "region", regions);
    map.Finish();
    blocks.push_back(std::move(block));
  }
  return blocks;
}

void CheckServices(YamlMap& top, const DeploymentSpec& spec) {
  std::vector<std::string> services;
  for (const BackendSpec& backend : spec.backends) {
    services.push_back(backend.service);
  }
  for (const KindSpec& kind : spec.kinds) {
    if (std::find(services.begin(), services.end(), kind.service) ==
        services.end()) {
      top.Fail("kinds", "kind '" + kind.name +
                            "': no backend server runs the service '" +
                            kind.service + "'" +
                            NearestWordHint(kind.service, services));
    }
  }
}

DeploymentSpec ReadDeployment(YamlMap& top) {
  DeploymentSpec spec;
  spec.name = top.Text("name");
  spec.regions = ReadRegions(top);
  spec.links = ReadLinks(top, spec);
  spec.kinds = ReadKinds(top);
  spec.backends = ReadBackends(top, spec);
  spec.rules = ReadRules(top);
  spec.drains = ReadDrains(top);
  spec.blocks = ReadBlocks(top, spec);
  top.Finish();
  CheckServices(top, spec);
  return spec;
}

}  // namespace

absl::StatusOr<DeploymentSpec> LoadDeployment(const std::string& text,
                                              const std::string& file) {
  try {
    YamlMap top = YamlMap::Parse(text, file);
    return ReadDeployment(top);
  } catch (const SettingsError& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace heatherlever
