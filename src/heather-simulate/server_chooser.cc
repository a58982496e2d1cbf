#include "heather-simulate/server_chooser.h"

#include <algorithm>
#include <array>

#include "heathersteer/route.h"
#include "heathersteer/service.h"

namespace heather_simulate {
namespace {

using heatherlever::Instant;
using heathersteer::PlacementChoice;
using heathersteer::PlacementRequest;
using heathersteer::ServerState;
using heathersteer::ServerTable;

using Servers = std::vector<std::shared_ptr<ServerState>>;

struct ChooserName {
  ChooserKind kind;
  std::string_view name;
};

constexpr std::array kNames = {
    ChooserName{ChooserKind::kPlacement, "placement"},
    ChooserName{ChooserKind::kRandom, "random"},
    ChooserName{ChooserKind::kLeastLoaded, "least-loaded"},
};

Servers UntriedServers(const ServerTable& table,
                       const PlacementRequest& request) {
  Servers servers;
  for (const auto& state : table.OfService(request.service->name)) {
    const auto& tried = *request.tried;
    if (std::find(tried.begin(), tried.end(), state->server.id) ==
        tried.end()) {
      servers.push_back(state);
    }
  }
  return servers;
}

class PlacementChooser : public ServerChooser {
 public:
  explicit PlacementChooser(const heathersteer::Placement& placement)
      : placement_(placement) {}

  PlacementChoice Choose(const ServerTable& table,
                         const PlacementRequest& request,
                         Instant now) override {
    return placement_.Choose(table, request, now);
  }

 private:
  const heathersteer::Placement& placement_;
};

class RandomChooser : public ServerChooser {
 public:
  explicit RandomChooser(std::mt19937_64& random) : random_(random) {}

  PlacementChoice Choose(const ServerTable& table,
                         const PlacementRequest& request,
                         Instant) override {
    const Servers servers = UntriedServers(table, request);
    if (servers.empty()) {
      return {};
    }
    std::uniform_int_distribution<std::size_t> any(0, servers.size() - 1);
    PlacementChoice choice;
    choice.server = servers[any(random_)];
    return choice;
  }

 private:
  std::mt19937_64& random_;
};

class LeastLoadedChooser : public ServerChooser {
 public:
  explicit LeastLoadedChooser(std::string region)
      : region_(std::move(region)) {}

  PlacementChoice Choose(const ServerTable& table,
                         const PlacementRequest& request,
                         Instant now) override {
    PlacementChoice choice;
    double least = 0;
    for (const auto& state : UntriedServers(table, request)) {
      const double load =
          state->load.Estimate(now) / state->server.slots +
          (state->server.region == region_ ? 0 : kRemoteLoadPenalty);
      if (choice.server == nullptr || load < least) {
        choice.server = state;
        least = load;
      }
    }
    return choice;
  }

 private:
  // Load a slot that a server in another region is taken to have besides.
  static constexpr double kRemoteLoadPenalty = 0.5;

  std::string region_;
};

}  // namespace

std::optional<ChooserKind> ChooserFromName(std::string_view name) {
  for (const ChooserName& entry : kNames) {
    if (entry.name == name) {
      return entry.kind;
    }
  }
  return std::nullopt;
}

std::vector<std::string> ChooserNames() {
  std::vector<std::string> names;
  for (const ChooserName& entry : kNames) {
    names.emplace_back(entry.name);
  }
  return names;
}

std::unique_ptr<ServerChooser> MakeChooser(
    ChooserKind kind,
    const heathersteer::Placement& placement,
    const std::string& region,
    std::mt19937_64& random) {
  switch (kind) {
    case ChooserKind::kPlacement:
      return std::make_unique<PlacementChooser>(placement);
    case ChooserKind::kRandom:
      return std::make_unique<RandomChooser>(random);
    case ChooserKind::kLeastLoaded:
      return std::make_unique<LeastLoadedChooser>(region);
  }
  return nullptr;
}

}  // namespace heather_simulate
