#include "heatherlever/epoch_record.h"

#include <nlohmann/json.hpp>

namespace heatherlever {
namespace {

using Json = nlohmann::json;

Json EncodeMember(const HostRecord& member) {
  return {{"name", member.name},           {"incarnation", member.incarnation},
          {"address", member.address},     {"http_port", member.http_port},
          {"peer_port", member.peer_port}, {"region", member.region},
          {"domain", member.domain}};
}

HostRecord ParseMember(const Json& json) {
  HostRecord member;
  json.at("name").get_to(member.name);
  json.at("incarnation").get_to(member.incarnation);
  json.at("address").get_to(member.address);
  json.at("http_port").get_to(member.http_port);
  json.at("peer_port").get_to(member.peer_port);
  json.at("region").get_to(member.region);
  json.at("domain").get_to(member.domain);
  return member;
}

}  // namespace

std::string EpochRecord::Encode() const {
  Json encoded = Json::array();
  for (const HostRecord& member : members) {
    encoded.push_back(EncodeMember(member));
  }
  return Json{{"number", number},
              {"config_version", config_version},
              {"members", encoded}}
      .dump();
}

absl::StatusOr<EpochRecord> EpochRecord::Parse(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    EpochRecord record;
    json.at("number").get_to(record.number);
    json.at("config_version").get_to(record.config_version);
    for (const Json& member : json.at("members")) {
      record.members.push_back(ParseMember(member));
    }
    return record;
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(
        std::string("the epoch record cannot be read: ") + error.what());
  }
}

}  // namespace heatherlever
