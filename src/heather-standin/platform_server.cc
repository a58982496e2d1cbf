#include "heather-standin/platform_server.h"

#include <thread>

#include "heather-standin/control_server.h"
#include "heather-standin/fault_fields.h"
#include "heather-standin/standin_error.h"

namespace heather_standin {
namespace {

using Json = nlohmann::json;

constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr char kJsonType[] = "application/json";

void SetJson(httplib::Response& response, const Json& body) {
  response.set_content(body.dump(), kJsonType);
}

}  // namespace

PlatformServer::PlatformServer() : started_(std::chrono::steady_clock::now()) {
  server_.set_pre_routing_handler(
      [this](const httplib::Request& request, httplib::Response&) {
        return BeforeRequest(request);
      });
  AddRoutes();
  AddStandinRoutes();
}

PlatformServer::~PlatformServer() {
  Stop();
}

std::uint16_t PlatformServer::Start(const std::string& address,
                                    std::uint16_t port) {
  return server_.Start(address, port);
}

void PlatformServer::Stop() {
  server_.Stop();
}

void PlatformServer::SetFaults(const Json& faults) {
  const FaultFields fields(
      {{"down", [this](const Json& value) { down_ = value.get<bool>(); }},
       {"delay_ms",
        [this](const Json& value) { delay_ms_ = value.get<std::int64_t>(); }},
       {"lose_next_answers",
        [this](const Json& value) {
          lose_next_answers_.Set(value.get<std::int64_t>());
        }},
       {"list_lag_ms", [this](const Json& value) {
          hosts_.set_lag(std::chrono::milliseconds(value.get<std::int64_t>()));
        }}});
  fields.Apply(faults);
}

Json PlatformServer::Statistics() const {
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - started_)
          .count();
  const std::uint64_t reads = reads_;
  const std::uint64_t writes = writes_;
  return {{"reads", reads},
          {"writes", writes},
          {"lost_answers", lost_answers_.load()},
          {"reads_per_second", static_cast<double>(reads) / seconds},
          {"writes_per_second", static_cast<double>(writes) / seconds},
          {"seconds", seconds}};
}

httplib::Server::Handler PlatformServer::Guarded(Handler handler) {
  return [this, handler](const httplib::Request& request,
                         httplib::Response& response) {
    try {
      (this->*handler)(request, response);
    } catch (const std::exception& error) {
      response.status = kBadRequest;
      SetJson(response, {{"error", error.what()}});
    }
  };
}

httplib::Server::HandlerResponse PlatformServer::BeforeRequest(
    const httplib::Request& request) {
  if (request.path.starts_with("/standin/")) {
    return httplib::Server::HandlerResponse::Unhandled;
  }
  if (const std::int64_t delay_ms = delay_ms_; delay_ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
  }
  if (down_) {
    StandinServer::DropAnswer();
    return httplib::Server::HandlerResponse::Handled;
  }
  return httplib::Server::HandlerResponse::Unhandled;
}

void PlatformServer::AddRoutes() {
  server_.Post("/v3/kv/range", Guarded(&PlatformServer::HandleRange));
  server_.Post("/v3/kv/txn", Guarded(&PlatformServer::HandleTransaction));
  server_.Get("/v1/health/service/([^/]+)",
              Guarded(&PlatformServer::HandleHealth));
  server_.Put("/v1/agent/service/register",
              Guarded(&PlatformServer::HandleRegister));
  server_.Put("/v1/agent/service/maintenance/([^/]+)",
              Guarded(&PlatformServer::HandleMaintenance));
  server_.Put("/v1/agent/service/deregister/([^/]+)",
              Guarded(&PlatformServer::HandleDeregister));
}

void PlatformServer::AddStandinRoutes() {
  AddControlRoutes(
      server_, [this](const Json& faults) { SetFaults(faults); },
      [this] { return Statistics(); });
  // Object paths match everything else, so they come last.
  server_.Get("/[^/]+/.+", Guarded(&PlatformServer::HandleGetObject));
  server_.Put("/[^/]+/.+", Guarded(&PlatformServer::HandlePutObject));
}

void PlatformServer::HandleRange(const httplib::Request& request,
                                 httplib::Response& response) {
  ++reads_;
  SetJson(response, table_.Range(Json::parse(request.body)));
}

void PlatformServer::HandleTransaction(const httplib::Request& request,
                                       httplib::Response& response) {
  SetJson(response, table_.Transaction(Json::parse(request.body)));
  EndWrite();
}

void PlatformServer::HandleGetObject(const httplib::Request& request,
                                     httplib::Response& response) {
  ++reads_;
  const auto object = objects_.Get(request.path);
  if (!object) {
    response.status = kNotFound;
    return;
  }
  response.set_header("ETag", object->etag);
  if (request.get_header_value("If-None-Match") == object->etag) {
    response.status = kNotModified;
    return;
  }
  const std::string if_match = request.get_header_value("If-Match");
  if (!if_match.empty() && if_match != object->etag) {
    response.status = kPreconditionFailed;
    return;
  }
  response.set_content(object->body, "application/octet-stream");
}

void PlatformServer::HandlePutObject(const httplib::Request& request,
                                     httplib::Response& response) {
  const auto etag = objects_.Put(request.path, request.body,
                                 request.get_header_value("If-Match"),
                                 request.get_header_value("If-None-Match"));
  if (etag) {
    response.set_header("ETag", *etag);
  } else {
    response.status = kPreconditionFailed;
  }
  EndWrite();
}

void PlatformServer::HandleHealth(const httplib::Request& request,
                                  httplib::Response& response) {
  ++reads_;
  SetJson(response, hosts_.Health(request.matches[1]));
}

void PlatformServer::HandleRegister(const httplib::Request& request,
                                    httplib::Response&) {
  hosts_.Register(Json::parse(request.body));
  EndWrite();
}

void PlatformServer::HandleMaintenance(const httplib::Request& request,
                                       httplib::Response& response) {
  const bool enabled = request.get_param_value("enable") == "true";
  if (!hosts_.SetMaintenance(request.matches[1], enabled)) {
    response.status = kNotFound;
  }
  EndWrite();
}

void PlatformServer::HandleDeregister(const httplib::Request& request,
                                      httplib::Response& response) {
  if (!hosts_.Deregister(request.matches[1])) {
    response.status = kNotFound;
  }
  EndWrite();
}

// Counts a write that took effect and loses its answer if that fault is set.
void PlatformServer::EndWrite() {
  ++writes_;
  if (lose_next_answers_.Strike()) {
    ++lost_answers_;
    StandinServer::DropAnswer();
  }
}

}  // namespace heather_standin
