#include "heather-entry/gossip_codec.h"

#include <nlohmann/json.hpp>

#include "heathernet/config_store.h"

namespace heather_entry {

using heatherlever::ConfigRecord;
using heatherlever::HeadroomReport;

namespace {

constexpr char kPoolPrefix[] = "pool/";

}  // namespace

std::string EncodeHeadroom(const HeadroomReport& report) {
  return nlohmann::json{report.free_slots, report.queued, report.usable_slots}
      .dump();
}

std::optional<HeadroomReport> DecodeHeadroom(const std::string& payload) {
  const nlohmann::json fields = nlohmann::json::parse(payload, nullptr, false);
  if (!fields.is_array() || fields.size() != 3) {
    return std::nullopt;
  }
  for (const nlohmann::json& field : fields) {
    if (!field.is_number_integer()) {
      return std::nullopt;
    }
  }
  HeadroomReport report;
  report.free_slots = fields[0].get<int>();
  report.queued = fields[1].get<int>();
  report.usable_slots = fields[2].get<int>();
  return report;
}

std::string PoolKey(const PoolName& pool) {
  return kPoolPrefix + pool.Text();
}

std::optional<PoolName> PoolOfKey(const std::string& key) {
  const std::string prefix = kPoolPrefix;
  const std::size_t at = key.find('@');
  if (key.rfind(prefix, 0) != 0 || at == std::string::npos) {
    return std::nullopt;
  }
  return PoolName{key.substr(prefix.size(), at - prefix.size()),
                  key.substr(at + 1)};
}

std::string EncodeConfig(const ConfigRecord& record) {
  return nlohmann::json{record.version, record.digest, record.yaml}.dump();
}

std::optional<ConfigRecord> DecodeConfig(const std::string& payload) {
  const nlohmann::json fields = nlohmann::json::parse(payload, nullptr, false);
  if (!fields.is_array() || fields.size() != 3 ||
      !fields[0].is_number_integer() || !fields[1].is_string() ||
      !fields[2].is_string()) {
    return std::nullopt;
  }
  ConfigRecord record;
  fields[0].get_to(record.version);
  fields[1].get_to(record.digest);
  fields[2].get_to(record.yaml);
  if (heathernet::ConfigStore::Digest(record.yaml) != record.digest) {
    return std::nullopt;
  }
  return record;
}

}  // namespace heather_entry
