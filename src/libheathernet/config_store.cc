#include "heathernet/config_store.h"

#include <sodium.h>

#include <array>
#include <nlohmann/json.hpp>

#include "heathernet/platform_client.h"
#include "heathernet/platform_error.h"

namespace heathernet {
namespace {

using Json = nlohmann::json;
using heatherlever::ConfigRecord;

constexpr char kCurrentKey[] = "config/current";

std::string VersionKey(std::int64_t version) {
  return "config/" + std::to_string(version);
}

std::string Encoded(const ConfigRecord& record) {
  return Json{{"version", record.version},
              {"digest", record.digest},
              {"yaml", record.yaml}}
      .dump();
}

ConfigRecord Decoded(const std::string& key, const std::string& text) {
  try {
    const Json json = Json::parse(text);
    return {json.at("version").get<std::int64_t>(),
            json.at("digest").get<std::string>(),
            json.at("yaml").get<std::string>()};
  } catch (const Json::exception& error) {
    throw PlatformError(
        PlatformError::Kind::kBadAnswer,
        "row '" + key + "' is no configuration: " + error.what());
  }
}

}  // namespace

ConfigStore::ConfigStore(PlatformClient& client) : client_(client) {}

WriteResult ConfigStore::Publish(std::int64_t expected_version,
                                 const std::string& yaml) {
  std::int64_t row_version = kAbsentVersion;
  std::int64_t newest_version = 0;
  try {
    if (const auto row = client_.Get(kCurrentKey)) {
      row_version = row->version;
      newest_version = Decoded(kCurrentKey, row->value).version;
    }
  } catch (const PlatformError&) {
    return {WriteStatus::kUnavailable, 0};
  }
  if (newest_version != expected_version) {
    return {WriteStatus::kConflict, 0};
  }
  const ConfigRecord next{expected_version + 1, Digest(yaml), yaml};
  const std::string text = Encoded(next);
  const WriteResult result = client_.CompareAndSwap(
      kCurrentKey, row_version, text, {{VersionKey(next.version), text}});
  return {result.status,
          result.status == WriteStatus::kWritten ? next.version : 0};
}

std::optional<ConfigRecord> ConfigStore::Newest() {
  const auto row = client_.Get(kCurrentKey);
  return row ? std::optional(Decoded(kCurrentKey, row->value)) : std::nullopt;
}

std::optional<ConfigRecord> ConfigStore::Fetch(std::int64_t version) {
  const std::string key = VersionKey(version);
  const auto row = client_.Get(key);
  return row ? std::optional(Decoded(key, row->value)) : std::nullopt;
}

std::string ConfigStore::Digest(const std::string& yaml) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
  crypto_hash_sha256(hash.data(),
                     reinterpret_cast<const unsigned char*>(yaml.data()),
                     yaml.size());
  std::array<char, 2 * crypto_hash_sha256_BYTES + 1> text{};
  sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
  return text.data();
}

}  // namespace heathernet
