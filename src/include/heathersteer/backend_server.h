#ifndef HEATHERSTEER_BACKEND_SERVER_H_
#define HEATHERSTEER_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

#include "heatherlever/instant.h"

namespace heathersteer {

/// One life of a backend server, as the platform lists it.
struct BackendServer {
  std::string id;
  std::string service;
  /// IP address.
  std::string address;
  std::uint16_t port = 0;
  std::string region;
  std::string domain;
  /// Requests that it runs at the same time.
  int slots = 1;
  bool draining = false;
  /// Until when it is slow after its start.
  heatherlever::Instant cold_until{0};
  /// Time of its start, as the server tells it; distinguishes lives of one id.
  std::int64_t started_ms = 0;

  bool operator==(const BackendServer&) const = default;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_BACKEND_SERVER_H_
