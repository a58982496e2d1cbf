#include "libheathergate/relay_codec.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "heathergate/field_value.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathersteer::BackendServer;
using heathersteer::CrashSuspect;
using heathersteer::DocumentDelta;
using heathersteer::LimitReport;
using heathersteer::LimitSummary;
using heathersteer::OperatorState;
using heathersteer::ServerDelta;
using heathersteer::StoreVersion;
using nlohmann::json;

// Demand is sent in thousandths of a request/s.
constexpr double kMilli = 1000;
// Keeps sums of several sources within an int.
constexpr std::int64_t kMaxHosts = 1'000'000;

// Throws json::exception unless the value is an integer; get() would convert
// any number, however large.
std::int64_t ToInteger(const json& value) {
  return value.get_ref<const json::number_integer_t&>();
}

// The time of an event, of which peers send the age: not after now, and at the
// earliest Instant(0).
Instant TimeOfAge(const json& value, Instant now) {
  const Duration age(ToInteger(value));
  return now - std::clamp(age, Duration(0), now);
}

int ToHostCount(const json& value) {
  return static_cast<int>(
      std::clamp(ToInteger(value), std::int64_t{0}, kMaxHosts));
}

json FromServer(const BackendServer& server, Instant now) {
  const Duration cold = std::max(Duration(0), server.cold_until - now);
  json value = {{"id", server.id},
                {"service", server.service},
                {"address", server.address},
                {"port", server.port},
                {"region", server.region},
                {"domain", server.domain},
                {"slots", server.slots},
                {"draining", server.draining},
                {"cold_us", cold.count()},
                {"started_ms", server.started_ms},
                {"report", server.report_sequence}};
  if (server.succeeds_ms != 0) {
    value["succeeds_ms"] = server.succeeds_ms;
  }
  return value;
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
  const Duration cold(ToInteger(value.at("cold_us")));
  server.cold_until = cold.count() > 0
                          ? now + std::min(cold, Duration::max() - now)
                          : Instant{0};
  server.started_ms = value.at("started_ms").get<std::int64_t>();
  server.report_sequence = value.at("report").get<std::int64_t>();
  // Hosts of earlier builds don't send it.
  server.succeeds_ms = value.value("succeeds_ms", std::int64_t{0});
  return server;
}

json FromVersion(const StoreVersion& version) {
  return {version.timeline, version.number};
}

StoreVersion ToVersion(const json& value) {
  return {.timeline = value.at(0).get<std::uint64_t>(),
          .number = value.at(1).get<std::uint64_t>()};
}

json FromOperator(const OperatorState& state) {
  return {{"version", FromVersion(state.version)},
          {"document", state.document},
          {"document_version", state.document_version},
          {"evacuated", state.evacuated}};
}

OperatorState ToOperator(const json& value) {
  OperatorState state;
  state.version = ToVersion(value.at("version"));
  state.document = value.at("document").get<std::string>();
  state.document_version = value.at("document_version").get<std::uint64_t>();
  state.evacuated = value.at("evacuated").get<std::set<std::string>>();
  return state;
}

// An array without names: offset, size and text of each piece in turn.
json FromDocumentDelta(const DocumentDelta& delta) {
  json pieces = json::array();
  for (const DocumentDelta::Piece& piece : delta.pieces) {
    pieces.push_back(piece.offset);
    pieces.push_back(piece.size);
    pieces.push_back(piece.text);
  }
  return {{"base", delta.base_version},
          {"digest", delta.digest},
          {"pieces", std::move(pieces)}};
}

DocumentDelta ToDocumentDelta(const json& value) {
  DocumentDelta delta;
  delta.base_version = value.at("base").get<std::uint64_t>();
  delta.digest = value.at("digest").get<std::uint64_t>();
  const json& pieces = value.at("pieces");
  for (std::size_t i = 0; i < pieces.size(); i += 3) {
    delta.pieces.push_back({.offset = pieces.at(i).get<std::size_t>(),
                            .size = pieces.at(i + 1).get<std::size_t>(),
                            .text = pieces.at(i + 2).get<std::string>()});
  }
  return delta;
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
  for (const json& entry : value.at("changed")) {
    BackendServer server = ToServer(entry, now);
    // Hosts of earlier builds pass on ids of any text.
    if (IsFieldValue(server.id)) {
      delta.changed.push_back(std::move(server));
    } else {
      spdlog::warn(
          "backend server ignored: id \"{}\" in another host's list is no "
          "value of a header field",
          server.id);
    }
  }
  delta.removed = value.at("removed").get<std::vector<std::string>>();
  return delta;
}

// Servers are arrays without names, as there may be hundreds of them.
json FromLimits(const LimitSummary& limits, Instant now) {
  json servers = json::array();
  for (const LimitReport& report : limits.reports) {
    const bool observed = report.observed_at != Instant(0);
    servers.push_back({report.server_id, report.started_ms, report.limit,
                       observed ? (now - report.observed_at).count() : -1,
                       std::llround(report.demand * kMilli)});
  }
  return {{"hosts", limits.hosts}, {"servers", std::move(servers)}};
}

LimitSummary ToLimits(const json& value, Instant now) {
  LimitSummary limits;
  limits.hosts = ToHostCount(value.at("hosts"));
  for (const json& server : value.at("servers")) {
    LimitReport report;
    report.server_id = server.at(0).get<std::string>();
    report.started_ms = server.at(1).get<std::int64_t>();
    report.limit = std::max(0.0, server.at(2).get<double>());
    const bool observed = ToInteger(server.at(3)) >= 0;
    report.observed_at = observed ? TimeOfAge(server.at(3), now) : Instant(0);
    report.demand =
        std::max(0.0, static_cast<double>(server.at(4).get<std::int64_t>())) /
        kMilli;
    limits.reports.push_back(std::move(report));
  }
  return limits;
}

// Arrays without names, like limits. An age of -1 stands for no completion.
json FromSuspects(const std::vector<CrashSuspect>& suspects, Instant now) {
  json list = json::array();
  for (const CrashSuspect& suspect : suspects) {
    json crashes = json::array();
    for (const auto& crash : suspect.crashes) {
      crashes.push_back({crash.incarnation, (now - crash.at).count()});
    }
    const bool cleared = suspect.cleared_at != Instant(0);
    list.push_back({suspect.fingerprint,
                    cleared ? (now - suspect.cleared_at).count() : -1,
                    std::move(crashes)});
  }
  return list;
}

std::vector<CrashSuspect> ToSuspects(const json& value, Instant now) {
  std::vector<CrashSuspect> suspects;
  for (const json& entry : value) {
    CrashSuspect& suspect = suspects.emplace_back();
    suspect.fingerprint = entry.at(0).get<std::uint64_t>();
    const bool cleared = ToInteger(entry.at(1)) >= 0;
    suspect.cleared_at = cleared ? TimeOfAge(entry.at(1), now) : Instant(0);
    for (const json& crash : entry.at(2)) {
      suspect.crashes.push_back(
          {crash.at(0).get<std::uint64_t>(), TimeOfAge(crash.at(1), now)});
    }
  }
  return suspects;
}

RelayResponse ToResponse(const json& value, Instant now) {
  RelayResponse response;
  response.incarnation = value.at("instance").get<std::string>();
  response.registration_version = ToVersion(value.at("joined"));
  response.registration_lost = value.at("lost").get<bool>();
  response.timeline = value.at("timeline").get<std::uint64_t>();
  response.age = now - TimeOfAge(value.at("age_us"), now);
  response.host_count = ToHostCount(value.at("hosts"));
  response.servers_sequence = value.at("servers_sequence").get<std::uint64_t>();
  response.operator_sequence =
      value.at("operator_sequence").get<std::uint64_t>();
  response.live_sequence = value.at("live_sequence").get<std::uint64_t>();
  response.same_list = value.at("same_list").get<bool>();
  if (value.contains("servers")) {
    response.servers = ToDelta(value.at("servers"), now);
  }
  if (value.contains("operator")) {
    response.operator_state = ToOperator(value.at("operator"));
  }
  if (value.contains("document_delta")) {
    response.document_delta = ToDocumentDelta(value.at("document_delta"));
  }
  if (value.contains("fronts")) {
    response.caller_endpoints =
        value.at("fronts").get<std::vector<std::string>>();
  }
  if (value.contains("limits")) {
    response.limits = ToLimits(value.at("limits"), now);
  }
  response.suspects_sequence =
      value.at("suspects_sequence").get<std::uint64_t>();
  if (value.contains("suspects")) {
    response.suspects = ToSuspects(value.at("suspects"), now);
  }
  return response;
}

}  // namespace

std::string EncodeResponse(const RelayResponse& response, Instant now) {
  json value = {{"instance", response.incarnation},
                {"joined", FromVersion(response.registration_version)},
                {"lost", response.registration_lost},
                {"timeline", response.timeline},
                {"age_us", response.age.count()},
                {"hosts", response.host_count},
                {"servers_sequence", response.servers_sequence},
                {"operator_sequence", response.operator_sequence},
                {"live_sequence", response.live_sequence},
                {"suspects_sequence", response.suspects_sequence},
                {"same_list", response.same_list}};
  if (response.servers) {
    value["servers"] = FromDelta(*response.servers, now);
  }
  if (response.operator_state) {
    value["operator"] = FromOperator(*response.operator_state);
  }
  if (response.document_delta) {
    value["document_delta"] = FromDocumentDelta(*response.document_delta);
  }
  if (response.caller_endpoints) {
    value["fronts"] = *response.caller_endpoints;
  }
  if (response.limits) {
    value["limits"] = FromLimits(*response.limits, now);
  }
  if (!response.suspects.empty()) {
    value["suspects"] = FromSuspects(response.suspects, now);
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<RelayResponse> DecodeResponse(const std::string& text,
                                            Instant now) {
  try {
    return ToResponse(json::parse(text), now);
  } catch (const json::exception&) {
    return std::nullopt;  // The calling code logs the sender's name.
  }
}

std::string EncodeRequest(const RelayRequest& request, Instant now) {
  json value = {{"name", request.name},
                {"front", request.caller_endpoint},
                {"joined", FromVersion(request.registration_version)},
                {"ready", request.ready},
                {"instance", request.incarnation},
                {"servers_sequence", request.servers_sequence},
                {"operator_sequence", request.operator_sequence},
                {"document_version", request.document_version},
                {"live_sequence", request.live_sequence},
                {"suspects_sequence", request.suspects_sequence}};
  if (request.limits) {
    value["limits"] = FromLimits(*request.limits, now);
  }
  if (!request.suspects.empty()) {
    value["suspects"] = FromSuspects(request.suspects, now);
  }
  return value.dump();
}

std::optional<RelayRequest> DecodeRequest(const std::string& text,
                                          Instant now) {
  try {
    const json value = json::parse(text);
    RelayRequest request;
    request.name = value.at("name").get<std::string>();
    request.caller_endpoint = value.at("front").get<std::string>();
    request.registration_version = ToVersion(value.at("joined"));
    request.ready = value.at("ready").get<bool>();
    request.incarnation = value.at("instance").get<std::string>();
    request.servers_sequence =
        value.at("servers_sequence").get<std::uint64_t>();
    request.operator_sequence =
        value.at("operator_sequence").get<std::uint64_t>();
    request.document_version =
        value.at("document_version").get<std::uint64_t>();
    request.live_sequence = value.at("live_sequence").get<std::uint64_t>();
    if (value.contains("limits")) {
      request.limits = ToLimits(value.at("limits"), now);
    }
    request.suspects_sequence =
        value.at("suspects_sequence").get<std::uint64_t>();
    if (value.contains("suspects")) {
      request.suspects = ToSuspects(value.at("suspects"), now);
    }
    return request;
  } catch (const json::exception&) {
    return std::nullopt;  // The calling code responds with 400.
  }
}

std::string EncodeDomainReport(const DomainReport& report, Instant now) {
  json value = {{"domain", report.domain},
                {"suspects", FromSuspects(report.suspects, now)},
                {"needs_suspects", report.needs_suspects}};
  if (report.limits) {
    value["limits"] = FromLimits(*report.limits, now);
  }
  return value.dump();
}

std::optional<DomainReport> DecodeDomainReport(const std::string& text,
                                               Instant now) {
  try {
    const json value = json::parse(text);
    DomainReport report;
    report.domain = value.at("domain").get<std::string>();
    report.suspects = ToSuspects(value.at("suspects"), now);
    report.needs_suspects = value.at("needs_suspects").get<bool>();
    if (value.contains("limits")) {
      report.limits = ToLimits(value.at("limits"), now);
    }
    return report;
  } catch (const json::exception&) {
    return std::nullopt;  // The calling code responds with 400.
  }
}

std::string EncodeSuspects(const std::vector<CrashSuspect>& suspects,
                           Instant now) {
  return FromSuspects(suspects, now).dump();
}

std::optional<std::vector<CrashSuspect>> DecodeSuspects(const std::string& text,
                                                        Instant now) {
  try {
    return ToSuspects(json::parse(text), now);
  } catch (const json::exception&) {
    return std::nullopt;  // The calling code logs the sender's name.
  }
}

std::string EncodeQuery(const UpdateQuery& query) {
  return json{{"list_age_us", query.list_age.count()},
              {"list_digest", query.list_digest},
              {"operator_version", FromVersion(query.operator_version)},
              {"document_version", query.document_version}}
      .dump();
}

std::optional<UpdateQuery> DecodeQuery(const std::string& text) {
  try {
    const json value = json::parse(text);
    UpdateQuery query;
    query.list_age = Duration(value.at("list_age_us").get<std::int64_t>());
    query.list_digest = value.at("list_digest").get<std::uint64_t>();
    query.operator_version = ToVersion(value.at("operator_version"));
    query.document_version = value.at("document_version").get<std::uint64_t>();
    return query;
  } catch (const json::exception&) {
    return std::nullopt;  // The calling code responds with 400.
  }
}

}  // namespace heathergate
