#include "heather-load/caller.h"

#include <httplib.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "heather-load/load_plan.h"
#include "heatherlever/ipv4.h"

namespace heather_load {
namespace {

using heatherlever::Duration;
using heatherlever::KindSpec;

constexpr time_t kLookUpTimeoutS = 1;
constexpr std::chrono::milliseconds kConnectTimeout(300);

// Callers wait a little longer than the deadline that they state.
constexpr std::chrono::milliseconds kDeadlineGrace(1000);

// Look-ups of callers in the same 256 addresses are the same.
constexpr std::uint32_t kBlockMask = 0xffffff00;

const KindSpec& KindOf(const LoadPlan& plan, const std::string& name) {
  const auto found =
      std::find_if(plan.deployment.kinds.begin(), plan.deployment.kinds.end(),
                   [&name](const KindSpec& kind) { return kind.name == name; });
  return *found;
}

ResultClass ClassOf(const std::string& outcome) {
  if (outcome == "done") {
    return ResultClass::kDone;
  }
  return outcome == "not-run" ? ResultClass::kNotRun : ResultClass::kUnknown;
}

// The stand-in backend servers put the key into the answer.
bool IsOwnAnswer(const httplib::Response& response, const std::string& key) {
  const std::string length = response.get_header_value("Content-Length");
  return length == std::to_string(response.body.size()) &&
         response.body.find(key) != std::string::npos;
}

}  // namespace

Caller::Caller(const LoadPlan& plan, std::uint64_t seed)
    : plan_(plan), generator_(seed), run_(std::random_device{}()) {}

Caller::~Caller() = default;

RequestResult Caller::Send(const Arrival& arrival, Clock::time_point start) {
  RequestResult result;
  result.arrival = &arrival;
  const KindSpec& kind = KindOf(plan_, arrival.stream->kind);
  if (!kind.idempotent) {
    result.key = "load-" + std::to_string(plan_.seed) + "-" +
                 std::to_string(run_) + "-" + std::to_string(arrival.number);
  }
  const Clock::time_point arrived = start + arrival.at;
  const Clock::time_point deadline = arrived + kind.deadline;
  result.result = ResultClass::kNotRun;
  result.reason = "no-entry-host";
  for (const std::string& host : HostsFor(arrival)) {
    if (TryHost(host, arrival, deadline, result)) {
      break;
    }
  }
  result.latency = std::chrono::duration_cast<Duration>(Clock::now() - arrived);
  return result;
}

std::vector<std::string> Caller::HostsFor(const Arrival& arrival) {
  LookUp& cached =
      look_ups_[{arrival.stream->kind, arrival.caller & kBlockMask}];
  if (Clock::now() >= cached.valid_until) {
    LookUp fresh = AskForHosts(arrival);
    if (!fresh.hosts.empty()) {
      cached = std::move(fresh);
    }
  }
  return cached.hosts;
}

Caller::LookUp Caller::AskForHosts(const Arrival& arrival) {
  std::vector<std::string> hosts = plan_.entry_hosts;
  std::shuffle(hosts.begin(), hosts.end(), generator_);
  for (const std::string& host : hosts) {
    httplib::Client client("http://" + host);
    client.set_interface(heatherlever::FormatIpv4(arrival.caller));
    client.set_connection_timeout(kConnectTimeout);
    client.set_read_timeout(kLookUpTimeoutS);
    const auto answer = client.Get("/v1/lookup?kind=" + arrival.stream->kind);
    if (!answer || answer->status != 200) {
      continue;
    }
    const auto json = nlohmann::json::parse(answer->body);
    LookUp look_up;
    for (const auto& entry : json.at("entry_hosts")) {
      look_up.hosts.push_back(entry.at("url").get<std::string>());
    }
    look_up.valid_until =
        Clock::now() + std::chrono::seconds(json.at("ttl_s").get<int>());
    return look_up;
  }
  return {};
}

httplib::Client& Caller::Connection(const std::string& host,
                                    std::uint32_t caller) {
  auto& client = connections_[{host, caller}];
  if (!client) {
    client = std::make_unique<httplib::Client>(host);
    client->set_interface(heatherlever::FormatIpv4(caller));
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(kConnectTimeout);
  }
  return *client;
}

bool Caller::TryHost(const std::string& host,
                     const Arrival& arrival,
                     Clock::time_point deadline,
                     RequestResult& result) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  if (left.count() <= 0) {
    result.reason = "load-tool-late";
    return true;
  }
  httplib::Client& client = Connection(host, arrival.caller);
  client.set_read_timeout(left + kDeadlineGrace);
  httplib::Headers headers = {
      {"Heather-Deadline-Ms", std::to_string(left.count())}};
  if (!result.key.empty()) {
    headers.emplace("Idempotency-Key", result.key);
  }
  const auto answer = client.Post(
      "/v1/work/" + arrival.stream->kind, headers,
      std::string(static_cast<std::size_t>(arrival.stream->body_bytes), 'x'),
      "application/octet-stream");
  if (!answer) {
    const bool not_sent = answer.error() == httplib::Error::Connection ||
                          answer.error() == httplib::Error::ConnectionTimeout;
    if (!not_sent) {
      result.result = ResultClass::kUnknown;
    }
    result.reason = httplib::to_string(answer.error());
    return false;
  }
  result.result = ClassOf(answer->get_header_value("Heather-Outcome"));
  result.reason = "";
  if (result.result == ResultClass::kDone &&
      !IsOwnAnswer(*answer, result.key)) {
    result.result = ResultClass::kBroken;
  }
  if (result.result != ResultClass::kDone) {
    const auto problem = nlohmann::json::parse(answer->body, nullptr, false);
    result.reason = problem.is_object() ? problem.value("reason", "") : "";
  }
  return true;
}

}  // namespace heather_load
