#ifndef HEATHERLEVER_BACKEND_SPEC_H_
#define HEATHERLEVER_BACKEND_SPEC_H_

#include <cstdint>
#include <string>
#include "heatherlever/labels.h"

namespace heatherlever {

/// A backend server as the configuration declares it.
struct BackendSpec {
  std::string name;
  Labels labels;
  /// Service that it runs, such as levelview.
  std::string service;
  std::string region;
  std::string domain;
  /// IP address.
  std::string address;
  std::uint16_t port = 0;
  /// Requests that it runs at the same time.
  int slots = 0;
  /// Connections that it accepts.
  int max_connections = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_BACKEND_SPEC_H_
