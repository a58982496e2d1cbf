#include "libheathergate/relay_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathersteer::BackendServer;
using heathersteer::OperatorState;
using heathersteer::ServerDelta;
using nlohmann::json;

json FromServer(const BackendServer& server, Instant now) {
  const Duration cold = std::max(Duration(0), server.cold_until - now);
  return {{"id", server.id},           {"service", server.service},
          {"address", server.address}, {"port", server.port},
          {"region", server.region},   {"domain", server.domain},
          {"slots", server.slots},     {"draining", server.draining},
          {"cold_us", cold.count()},   {"started_ms", server.started_ms}};
}

BackendServer ToServer(const json& value, Instant now) {
  BackendServer server;
  server.id = value.at("id").get<std::string>();
  server.service = value.at("service").get<std::string>();
  server.address = value.at("address").get<std::string>();
  server.port = value.at("port").get<std::uint16_t>();
  server.region = value.at("region").get<std::string>();
  server.domain = value.at("domain").get<std::string>();
  server.slots = value.at("slots").get<int>();
  server.draining = value.at("draining").get<bool>();
  const Duration cold(value.at("cold_us").get<std::int64_t>());
  server.cold_until = cold.count() > 0 ? now + cold : Instant{0};
  server.started_ms = value.at("started_ms").get<std::int64_t>();
  return server;
}

json FromOperator(const OperatorState& state) {
  return {{"version", state.version},
          {"document", state.document},
          {"evacuated", state.evacuated}};
}

OperatorState ToOperator(const json& value) {
  OperatorState state;
  state.version = value.at("version").get<std::uint64_t>();
  state.document = value.at("document").get<std::string>();
  state.evacuated = value.at("evacuated").get<std::set<std::string>>();
  return state;
}

json FromDelta(const ServerDelta& delta, Instant now) {
  json changed = json::array();
  for (const BackendServer& server : delta.changed) {
    changed.push_back(FromServer(server, now));
  }
  return {{"whole", delta.full},
          {"changed", std::move(changed)},
          {"removed", delta.removed}};
}

ServerDelta ToDelta(const json& value, Instant now) {
  ServerDelta delta;
  delta.full = value.at("whole").get<bool>();
  for (const json& server : value.at("changed")) {
    delta.changed.push_back(ToServer(server, now));
  }
  delta.removed = value.at("removed").get<std::vector<std::string>>();
  return delta;
}

RelayResponse ToAnswer(const json& value, Instant now) {
  RelayResponse answer;
  answer.incarnation = value.at("instance").get<std::string>();
  answer.registration_version = value.at("joined").get<std::uint64_t>();
  answer.age = Duration(value.at("age_us").get<std::int64_t>());
  answer.host_count = value.at("hosts").get<int>();
  answer.servers_sequence = value.at("servers_sequence").get<std::uint64_t>();
  answer.operator_sequence = value.at("operator_sequence").get<std::uint64_t>();
  answer.live_sequence = value.at("live_sequence").get<std::uint64_t>();
  answer.same_list = value.at("same_list").get<bool>();
  if (value.contains("servers")) {
    answer.servers = ToDelta(value.at("servers"), now);
  }
  if (value.contains("operator")) {
    answer.operator_state = ToOperator(value.at("operator"));
  }
  if (value.contains("fronts")) {
    answer.caller_endpoints =
        value.at("fronts").get<std::vector<std::string>>();
  }
  return answer;
}

}  // namespace

std::string EncodeResponse(const RelayResponse& answer, Instant now) {
  json value = {{"instance", answer.incarnation},
                {"joined", answer.registration_version},
                {"age_us", answer.age.count()},
                {"hosts", answer.host_count},
                {"servers_sequence", answer.servers_sequence},
                {"operator_sequence", answer.operator_sequence},
                {"live_sequence", answer.live_sequence},
                {"same_list", answer.same_list}};
  if (answer.servers) {
    value["servers"] = FromDelta(*answer.servers, now);
  }
  if (answer.operator_state) {
    value["operator"] = FromOperator(*answer.operator_state);
  }
  if (answer.caller_endpoints) {
    value["fronts"] = *answer.caller_endpoints;
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<RelayResponse> DecodeResponse(const std::string& text,
                                            Instant now) {
  try {
    return ToAnswer(json::parse(text), now);
  } catch (const json::exception&) {
    return std::nullopt;  // The caller reports which host sent it.
  }
}

std::string EncodeRequest(const RelayRequest& question) {
  return json{{"name", question.name},
              {"front", question.caller_endpoint},
              {"joined", question.registration_version},
              {"ready", question.ready},
              {"instance", question.incarnation},
              {"servers_sequence", question.servers_sequence},
              {"operator_sequence", question.operator_sequence},
              {"live_sequence", question.live_sequence}}
      .dump();
}

std::optional<RelayRequest> DecodeRequest(const std::string& text) {
  try {
    const json value = json::parse(text);
    RelayRequest question;
    question.name = value.at("name").get<std::string>();
    question.caller_endpoint = value.at("front").get<std::string>();
    question.registration_version = value.at("joined").get<std::uint64_t>();
    question.ready = value.at("ready").get<bool>();
    question.incarnation = value.at("instance").get<std::string>();
    question.servers_sequence =
        value.at("servers_sequence").get<std::uint64_t>();
    question.operator_sequence =
        value.at("operator_sequence").get<std::uint64_t>();
    question.live_sequence = value.at("live_sequence").get<std::uint64_t>();
    return question;
  } catch (const json::exception&) {
    return std::nullopt;  // The caller answers 400.
  }
}

std::string EncodeQuery(const UpdateQuery& inquiry) {
  return json{{"list_age_us", inquiry.list_age.count()},
              {"list_digest", inquiry.list_digest},
              {"operator_version", inquiry.operator_version}}
      .dump();
}

std::optional<UpdateQuery> DecodeQuery(const std::string& text) {
  try {
    const json value = json::parse(text);
    UpdateQuery inquiry;
    inquiry.list_age = Duration(value.at("list_age_us").get<std::int64_t>());
    inquiry.list_digest = value.at("list_digest").get<std::uint64_t>();
    inquiry.operator_version =
        value.at("operator_version").get<std::uint64_t>();
    return inquiry;
  } catch (const json::exception&) {
    return std::nullopt;  // The caller answers 400.
  }
}

}  // namespace heathergate
