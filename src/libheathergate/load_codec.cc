#include "libheathergate/load_codec.h"

#include <nlohmann/json.hpp>

namespace heathergate {
namespace {

using Reports = heathersteer::LoadBoard::Reports;

// Requests above which a report is taken for damaged.
constexpr std::uint64_t kMostRequests = 100'000;

}  // namespace

std::vector<std::uint8_t> EncodeLoads(const Reports& reports) {
  return nlohmann::json::to_cbor(nlohmann::json(reports));
}

std::optional<Reports> DecodeLoads(std::span<const std::uint8_t> bytes) {
  const auto decoded = nlohmann::json::from_cbor(bytes.begin(), bytes.end(),
                                                 /*strict=*/true,
                                                 /*allow_exceptions=*/false);
  // An empty map is encoded like any other; an empty value is null.
  if (!decoded.is_object() && !decoded.is_null()) {
    return std::nullopt;
  }
  Reports reports;
  for (const auto& [server, requests] : decoded.items()) {
    if (!requests.is_number_unsigned() ||
        requests.get<std::uint64_t>() > kMostRequests) {
      return std::nullopt;
    }
    reports[server] = requests.get<int>();
  }
  return reports;
}

}  // namespace heathergate
