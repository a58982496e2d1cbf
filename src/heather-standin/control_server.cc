#include "heather-standin/control_server.h"

namespace heather_standin {
namespace {

using Json = nlohmann::json;

constexpr int kBadRequest = 400;
constexpr char kJsonType[] = "application/json";

}  // namespace

void AddControlRoutes(httplib::Server& server,
                      const std::function<void(const Json&)>& set_faults,
                      const std::function<Json()>& statistics) {
  server.Post("/standin/faults", [set_faults](const httplib::Request& request,
                                              httplib::Response& response) {
    try {
      set_faults(Json::parse(request.body));
      response.set_content("{}", kJsonType);
    } catch (const std::exception& error) {
      response.status = kBadRequest;
      response.set_content(Json{{"error", error.what()}}.dump(), kJsonType);
    }
  });
  server.Get("/standin/stats", [statistics](const httplib::Request&,
                                            httplib::Response& response) {
    response.set_content(statistics().dump(), kJsonType);
  });
}

ControlServer::ControlServer(const std::function<void(const Json&)>& set_faults,
                             const std::function<Json()>& statistics) {
  AddControlRoutes(server_, set_faults, statistics);
}

std::uint16_t ControlServer::Start(const std::string& address,
                                   std::uint16_t port) {
  return server_.Start(address, port);
}

}  // namespace heather_standin
