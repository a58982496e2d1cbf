#include "heatherlever/epoch_codec.h"

#include <nlohmann/json.hpp>

#include "heatherlever/epoch_record.h"

namespace heatherlever {
namespace {

using Json = nlohmann::json;

Json ToJson(const HostRecord& host) {
  return {{"name", host.name},           {"incarnation", host.incarnation},
          {"address", host.address},     {"http_port", host.http_port},
          {"peer_port", host.peer_port}, {"region", host.region},
          {"domain", host.domain}};
}

HostRecord HostFrom(const Json& json) {
  HostRecord host;
  json.at("name").get_to(host.name);
  json.at("incarnation").get_to(host.incarnation);
  json.at("address").get_to(host.address);
  json.at("http_port").get_to(host.http_port);
  json.at("peer_port").get_to(host.peer_port);
  json.at("region").get_to(host.region);
  json.at("domain").get_to(host.domain);
  return host;
}

Json ToJson(const PoolTerm& term) {
  Json members = Json::array();
  for (const HostId& member : term.members) {
    members.push_back(
        {{"name", member.name}, {"incarnation", member.incarnation}});
  }
  return {{"number", term.number}, {"members", members}};
}

PoolTerm TermFrom(const Json& json) {
  PoolTerm term;
  json.at("number").get_to(term.number);
  for (const Json& member : json.at("members")) {
    term.members.push_back({member.at("name").get<std::string>(),
                            member.at("incarnation").get<std::uint64_t>()});
  }
  return term;
}

}  // namespace

std::string EncodeEpoch(const EpochRecord& record) {
  Json members = Json::array();
  for (const HostRecord& host : record.members) {
    members.push_back(ToJson(host));
  }
  Json pools = Json::array();
  for (const PoolAssignment& pool : record.pools) {
    pools.push_back({{"pool", pool.pool},
                     {"term", ToJson(pool.term)},
                     {"previous", ToJson(pool.previous)}});
  }
  const Json json = {{"number", record.number},
                     {"config_version", record.config_version},
                     {"members", members},
                     {"acting_regions", record.acting_regions},
                     {"pools", pools}};
  return json.dump();
}

absl::StatusOr<EpochRecord> DecodeEpoch(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    EpochRecord record;
    json.at("number").get_to(record.number);
    json.at("config_version").get_to(record.config_version);
    json.at("acting_regions").get_to(record.acting_regions);
    for (const Json& host : json.at("members")) {
      record.members.push_back(HostFrom(host));
    }
    for (const Json& pool : json.at("pools")) {
      record.pools.push_back({pool.at("pool").get<std::string>(),
                              TermFrom(pool.at("term")),
                              TermFrom(pool.at("previous"))});
    }
    return record;
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(std::string("not an epoch record: ") +
                                      error.what());
  }
}

}  // namespace heatherlever
