#ifndef HEATHERNET_CONFIG_STORE_H_
#define HEATHERNET_CONFIG_STORE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "heatherlever/config_record.h"
#include "heathernet/write_result.h"

namespace heathernet {

class PlatformClient;

/// The configuration's versions in the platform's table: `config/current` and
/// `config/<version>`, written in one transaction.
class ConfigStore {
 public:
  /// `client` has to outlive the store.
  explicit ConfigStore(PlatformClient& client);

  /// Accepts `yaml` as version expected_version + 1 if the newest version is
  /// `expected_version` (0: if there is none). Of operators who race, one gets
  /// kWritten and the others kConflict. The result's version is the
  /// configuration's. The text is not checked here. kUnavailable if the store
  /// gave no answer.
  WriteResult Publish(std::int64_t expected_version, const std::string& yaml);

  /// The newest version; nothing if there is none. Throws PlatformError.
  std::optional<heatherlever::ConfigRecord> Newest();

  /// An earlier version; nothing if it was never accepted. Throws
  /// PlatformError.
  std::optional<heatherlever::ConfigRecord> Fetch(std::int64_t version);

  /// Digest of a configuration's text, as in ConfigRecord::digest.
  static std::string Digest(const std::string& yaml);

 private:
  PlatformClient& client_;
};

}  // namespace heathernet

#endif  // HEATHERNET_CONFIG_STORE_H_
