#include "libheathergate/load_codec.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "heathersteer/milliseconds.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathersteer::LoadBoard;

constexpr const char* kToLeader = "to_leader";
constexpr const char* kReports = "reports";
// Requests above which a report is taken for damaged.
constexpr std::uint64_t kMostRequests = 100'000;
// Age from which on a report says nothing. It also ends reports that go round
// while two hosts follow each other.
constexpr std::uint64_t kMostAgeMs = 1000;

// A report as [requests, age in milliseconds].
bool IsReport(const nlohmann::json& value) {
  return value.is_array() && value.size() == 2 &&
         value[0].is_number_unsigned() && value[1].is_number_unsigned() &&
         value[0].get<std::uint64_t>() <= kMostRequests;
}

}  // namespace

std::vector<std::uint8_t> EncodeLoads(const LoadDatagram& datagram,
                                      Instant now) {
  nlohmann::json reports = nlohmann::json::object();
  for (const auto& [server, report] : datagram.reports) {
    const Duration age = std::max(Duration(0), now - report.at);
    reports[server] = {report.requests, static_cast<std::uint64_t>(
                                            heathersteer::Milliseconds(age))};
  }
  return nlohmann::json::to_cbor(
      {{kToLeader, datagram.to_leader}, {kReports, std::move(reports)}});
}

std::optional<LoadDatagram> DecodeLoads(std::span<const std::uint8_t> bytes,
                                        Instant now) {
  const auto decoded = nlohmann::json::from_cbor(bytes.begin(), bytes.end(),
                                                 /*strict=*/true,
                                                 /*allow_exceptions=*/false);
  if (!decoded.is_object()) {
    return std::nullopt;
  }
  const auto to_leader = decoded.find(kToLeader);
  const auto reports = decoded.find(kReports);
  if (to_leader == decoded.end() || !to_leader->is_boolean() ||
      reports == decoded.end() || !reports->is_object()) {
    return std::nullopt;
  }
  LoadDatagram datagram;
  datagram.to_leader = to_leader->get<bool>();
  for (const auto& [server, report] : reports->items()) {
    if (!IsReport(report)) {
      return std::nullopt;
    }
    const auto age_ms = report[1].get<std::uint64_t>();
    if (age_ms < kMostAgeMs) {
      datagram.reports[server] = {report[0].get<int>(),
                                  now - std::chrono::milliseconds(age_ms)};
    }
  }
  return datagram;
}

}  // namespace heathergate
