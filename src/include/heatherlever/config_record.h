#ifndef HEATHERLEVER_CONFIG_RECORD_H_
#define HEATHERLEVER_CONFIG_RECORD_H_

#include <cstdint>
#include <string>

namespace heatherlever {

/// One accepted version of the configuration.
struct ConfigRecord {
  /// 1 for the first accepted configuration, one more for each later one.
  std::int64_t version = 0;
  /// Digest of `yaml`, in hexadecimal.
  std::string digest;
  std::string yaml;

  bool operator==(const ConfigRecord&) const = default;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CONFIG_RECORD_H_
