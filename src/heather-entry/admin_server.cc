#include "heather-entry/admin_server.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

namespace heather_entry {
namespace {

constexpr std::size_t kThreads = 4;
constexpr time_t kTimeoutS = 2;

}  // namespace

class AdminServer::Impl {
 public:
  Impl(const std::string& address, std::uint16_t port, Sources sources)
      : sources_(std::move(sources)) {
    server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server_.set_read_timeout(kTimeoutS, 0);
    server_.set_keep_alive_timeout(1);
    server_.set_keep_alive_max_count(1);
    AddRoutes();
    const int bound = port == 0 ? server_.bind_to_any_port(address)
                      : server_.bind_to_port(address, port) ? port
                                                            : -1;
    if (bound <= 0) {
      throw std::runtime_error("cannot listen on " + address + ":" +
                               std::to_string(port));
    }
    port_ = static_cast<std::uint16_t>(bound);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }

  ~Impl() {
    server_.stop();
    thread_.join();
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
  httplib::Server server_;
  std::thread thread_;
  std::uint16_t port_ = 0;
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
