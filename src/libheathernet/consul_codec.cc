#include "consul_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "heathernet/platform_error.h"

namespace heathernet {
namespace {

using Json = nlohmann::json;

constexpr char kMaintenanceCheck[] = "_service_maintenance:";

bool InMaintenance(const Json& checks) {
  return std::any_of(checks.begin(), checks.end(), [](const Json& check) {
    return check.value("CheckID", "").starts_with(kMaintenanceCheck);
  });
}

heatherlever::HostRecord ParseHost(const Json& entry) {
  const Json& service = entry.at("Service");
  const Json& meta = service.at("Meta");
  heatherlever::HostRecord host;
  host.name = service.at("ID").get<std::string>();
  host.address = service.at("Address").get<std::string>();
  host.http_port = service.at("Port").get<std::uint16_t>();
  // Consul keeps every value of Meta as text.
  host.peer_port = static_cast<std::uint16_t>(
      std::stoul(meta.at("peer_port").get<std::string>()));
  host.incarnation = std::stoull(meta.at("incarnation").get<std::string>());
  host.region = meta.at("region").get<std::string>();
  host.domain = meta.at("domain").get<std::string>();
  host.leaving = InMaintenance(entry.value("Checks", Json::array()));
  return host;
}

}  // namespace

std::string ConsulCodec::Registration(const heatherlever::HostRecord& host) {
  return Json{{"ID", host.name},
              {"Name", kServiceName},
              {"Address", host.address},
              {"Port", host.http_port},
              {"Meta",
               {{"peer_port", std::to_string(host.peer_port)},
                {"incarnation", std::to_string(host.incarnation)},
                {"region", host.region},
                {"domain", host.domain}}}}
      .dump();
}

std::vector<heatherlever::HostRecord> ConsulCodec::ParseHealth(
    const std::string& body) {
  try {
    std::vector<heatherlever::HostRecord> hosts;
    for (const Json& entry : Json::parse(body)) {
      hosts.push_back(ParseHost(entry));
    }
    std::sort(hosts.begin(), hosts.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    return hosts;
  } catch (const Json::exception& error) {
    throw PlatformError(
        PlatformError::Kind::kBadAnswer,
        std::string("the list of hosts cannot be read: ") + error.what());
  } catch (const std::logic_error& error) {
    throw PlatformError(
        PlatformError::Kind::kBadAnswer,
        std::string("a port in the list of hosts is no number: ") +
            error.what());
  }
}

}  // namespace heathernet
