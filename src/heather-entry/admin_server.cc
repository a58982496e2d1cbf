#include "heather-entry/admin_server.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "libheathernet/http_server.h"

namespace heather_entry {
namespace {

constexpr std::size_t kThreads = 4;
constexpr time_t kTimeoutS = 2;

}  // namespace

class AdminServer::Impl {
 public:
  Impl(const std::string& address, std::uint16_t port, Sources sources)
      : sources_(std::move(sources)), server_(kThreads) {
    server_.set_read_timeout(kTimeoutS, 0);
    server_.set_keep_alive_timeout(1);
    server_.set_keep_alive_max_count(1);
    AddRoutes();
    port_ = server_.Start(address, port);
  }

  std::uint16_t port() const { return port_; }

 private:
  void AddRoutes() {
    server_.Get("/state", [this](const auto&, httplib::Response& response) {
      response.set_content(sources_.state(), "application/json");
    });
    server_.Get("/metrics", [this](const auto&, httplib::Response& response) {
      response.set_content(sources_.metrics(), "text/plain; version=0.0.4");
    });
    server_.Get("/explain", [this](const httplib::Request& request,
                                   httplib::Response& response) {
      const nlohmann::json lines = sources_.explain(
          request.get_param_value("kind"), request.get_param_value("address"));
      response.set_content(lines.dump(), "application/json");
    });
  }

  Sources sources_;
  std::uint16_t port_ = 0;
  heathernet::HttpServer server_;
};

AdminServer::AdminServer(const std::string& address,
                         std::uint16_t port,
                         Sources sources)
    : impl_(std::make_unique<Impl>(address, port, std::move(sources))) {}

AdminServer::~AdminServer() = default;

std::uint16_t AdminServer::port() const {
  return impl_->port();
}

}  // namespace heather_entry
