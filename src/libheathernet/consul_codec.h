#ifndef LIBHEATHERNET_CONSUL_CODEC_H_
#define LIBHEATHERNET_CONSUL_CODEC_H_

#include <string>
#include <vector>

#include "heatherlever/host_record.h"

namespace heathernet {

/// Bodies of Consul's HTTP interface for the list of entry hosts.
class ConsulCodec {
 public:
  /// The service under which entry hosts register.
  static constexpr char kServiceName[] = "heather-entry";

  /// Body of a registration.
  static std::string Registration(const heatherlever::HostRecord& host);

  /// Hosts of a health answer, by name. A host in maintenance mode is leaving.
  /// Throws PlatformError (kBadAnswer).
  static std::vector<heatherlever::HostRecord> ParseHealth(
      const std::string& body);
};

}  // namespace heathernet

#endif  // LIBHEATHERNET_CONSUL_CODEC_H_
