#ifndef HEATHER_STANDIN_CONTROL_SERVER_H_
#define HEATHER_STANDIN_CONTROL_SERVER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "heather-standin/standin_server.h"

namespace heather_standin {

/// Adds `POST /standin/faults` and `GET /standin/stats` to a server. A fault
/// that `set_faults` throws on is answered with 400 and the error.
void AddControlRoutes(
    httplib::Server& server,
    const std::function<void(const nlohmann::json&)>& set_faults,
    const std::function<nlohmann::json()>& statistics);

/// The control routes on a port of their own.
class ControlServer {
 public:
  ControlServer(const std::function<void(const nlohmann::json&)>& set_faults,
                const std::function<nlohmann::json()>& statistics);

  /// Serves until destroyed; returns the port. Throws StandinError.
  std::uint16_t Start(const std::string& address, std::uint16_t port);

 private:
  StandinServer server_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_CONTROL_SERVER_H_
