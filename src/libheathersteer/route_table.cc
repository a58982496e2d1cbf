#include "heathersteer/route_table.h"

#include <algorithm>
#include <cctype>

#include "heathersteer/traffic_config.h"

namespace heathersteer {
namespace {

std::string HostName(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos &&
      host.find(']', colon) == std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string name(host);
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

bool LongerPrefix(const Route* a, const Route* b) {
  return a->prefix.size() > b->prefix.size();
}

}  // namespace

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

RouteTable::RouteTable(const TrafficConfig& config) {
  for (const Route& route : config.routes) {
    by_host_[HostName(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::sort(routes.begin(), routes.end(), LongerPrefix);
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  const auto found = by_host_.find(HostName(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = PathOf(target);
  for (const Route* route : found->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

}  // namespace heathersteer
