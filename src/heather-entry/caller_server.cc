#include "heather-entry/caller_server.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "heather-entry/caller_service.h"
#include "heather-entry/entry_metrics.h"
#include "heather-entry/entry_settings.h"
#include "heatherlever/ipv4.h"
#include "heatherlever/nearest_word.h"
#include "heathernet/event_loop.h"
#include "libheathernet/http_server.h"

namespace heather_entry {
namespace {

using heatherlever::Duration;
using heatherlever::KindSpec;
using heatherlever::RequestOutcome;
using httplib::Request;
using httplib::Response;

constexpr std::size_t kMaxBodyBytes = 262144;
constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::size_t kMaxExchangeBytes = 128;
constexpr std::size_t kMaxHeaders = 64;
constexpr time_t kReadTimeoutS = 3;
constexpr time_t kWriteTimeoutS = 5;
constexpr time_t kKeepAliveS = 5;
constexpr std::size_t kRequestsPerConnection = 100000;

// Answers come by the deadline; only a fault of this process makes one late.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(500);

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPayloadTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooManyHeaders = 431;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// A request that cannot be taken, with what its answer says.
class CallerError : public std::runtime_error {
 public:
  CallerError(int status,
              const std::string& detail,
              std::string outcome = "not-run",
              std::string reason = "bad-request")
      : std::runtime_error(detail),
        status_(status),
        outcome_(std::move(outcome)),
        reason_(std::move(reason)) {}
  int status() const { return status_; }
  const std::string& outcome() const { return outcome_; }
  const std::string& reason() const { return reason_; }

 private:
  int status_;
  std::string outcome_;
  std::string reason_;
};

// The HTTP phrase of a status that this server sends.
std::string TitleOf(int status) {
  static const std::map<int, std::string> titles = {
      {kBadRequest, "Bad Request"},
      {kNotFound, "Not Found"},
      {kPayloadTooLarge, "Payload Too Large"},
      {kUnprocessable, "Unprocessable Content"},
      {kTooManyHeaders, "Request Header Fields Too Large"},
      {kUnavailable, "Service Unavailable"},
      {kGatewayTimeout, "Gateway Timeout"}};
  const auto found = titles.find(status);
  return found == titles.end() ? "Error" : found->second;
}

// A problem of RFC 9457, with the outcome and its reason as extensions.
void SetProblem(Response& response,
                int status,
                const std::string& outcome,
                const std::string& reason,
                const std::string& detail) {
  const nlohmann::json problem = {{"type", "urn:heatherlever:" + reason},
                                  {"title", TitleOf(status)},
                                  {"status", status},
                                  {"detail", detail},
                                  {"outcome", outcome},
                                  {"reason", reason}};
  response.status = status;
  response.set_header("Heather-Outcome", outcome);
  response.set_content(
      problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      "application/problem+json");
}

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

// The draft of the Idempotency-Key header makes it a quoted string; a bare
// word is taken as well.
std::string ReadKey(const Request& request, const KindSpec& kind) {
  if (request.get_header_value_count("Idempotency-Key") > 1) {
    throw CallerError(kBadRequest, "more than one Idempotency-Key");
  }
  std::string key = request.get_header_value("Idempotency-Key");
  if (key.size() >= 2 && key.front() == '"' && key.back() == '"') {
    key = key.substr(1, key.size() - 2);
  }
  if (key.empty() && !kind.idempotent) {
    throw CallerError(kBadRequest, "kind '" + kind.name +
                                       "' is non-idempotent and needs an "
                                       "Idempotency-Key");
  }
  if (key.size() > kMaxKeyBytes || !IsPrintable(key)) {
    throw CallerError(kBadRequest,
                      "an Idempotency-Key has at most 128 printable "
                      "characters without spaces");
  }
  return key;
}

Duration ReadDeadline(const Request& request, const KindSpec& kind) {
  const std::string text = request.get_header_value("Heather-Deadline-Ms");
  if (text.empty()) {
    return kind.deadline;
  }
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, count);
  if (result.ec != std::errc() || result.ptr != end || count <= 0) {
    throw CallerError(kBadRequest,
                      "Heather-Deadline-Ms wants a positive number of "
                      "milliseconds, found '" +
                          text + "'");
  }
  const auto longest =
      std::chrono::duration_cast<std::chrono::milliseconds>(kind.deadline);
  return std::chrono::milliseconds(std::min(count, longest.count()));
}

std::uint32_t ClientAddress(const Request& request) {
  return heatherlever::ParseIpv4(request.remote_addr).value_or(0);
}

}  // namespace

class CallerServer::Impl {
 public:
  Impl(const EntrySettings& settings,
       CallerService& service,
       EntryMetrics& metrics)
      : service_(service),
        metrics_(metrics),
        name_(settings.name),
        server_(static_cast<std::size_t>(settings.caller_threads)) {
    server_.set_payload_max_length(kMaxBodyBytes);
    server_.set_read_timeout(kReadTimeoutS, 0);
    server_.set_write_timeout(kWriteTimeoutS, 0);
    server_.set_keep_alive_timeout(kKeepAliveS);
    server_.set_keep_alive_max_count(kRequestsPerConnection);
    server_.set_tcp_nodelay(true);
    AddRoutes();
    port_ = server_.Start(settings.address, settings.http_port);
  }

  void StopAccepting() { server_.stop(); }
  std::uint16_t port() const { return port_; }
  int in_progress() const { return in_progress_; }

 private:
  using Handler = void (Impl::*)(const Request&, Response&);

  void AddRoutes() {
    server_.Get("/v1/lookup", Guarded(&Impl::LookUp));
    server_.Post(R"(/v1/work/([^/]+))", Guarded(&Impl::Work));
    server_.Delete(R"(/v1/work/([^/]+))", Guarded(&Impl::Cancel));
    server_.set_error_handler([](const Request&, Response& response) {
      if (response.body.empty()) {
        SetProblem(response, response.status, "not-run", "bad-request",
                   "the request was not understood; see docs/CALLERS.md");
      }
    });
  }

  httplib::Server::Handler Guarded(Handler handler) {
    return [this, handler](const Request& request, Response& response) {
      ++in_progress_;
      try {
        if (request.headers.size() > kMaxHeaders) {
          throw CallerError(kTooManyHeaders, "more than 64 headers");
        }
        (this->*handler)(request, response);
      } catch (const CallerError& error) {
        SetProblem(response, error.status(), error.outcome(), error.reason(),
                   error.what());
      }
      response.set_header("Heather-Entry-Host", name_);
      --in_progress_;
    };
  }

  KindSpec KindNamed(const std::string& name) const {
    auto kind = service_.Kind(name);
    if (!kind) {
      throw CallerError(kNotFound, "no kind of work is named '" + name + "'" +
                                       heatherlever::NearestWordHint(
                                           name, service_.KindNames()));
    }
    return *std::move(kind);
  }

  void RequireReady() const {
    if (!service_.Ready()) {
      // An earlier attempt with the same key may have been run elsewhere, so
      // that this is no "not run".
      throw CallerError(kUnavailable,
                        "this entry host has no configuration yet", "unknown",
                        "not-ready");
    }
  }

  void LookUp(const Request& request, Response& response) {
    RequireReady();
    const KindSpec kind = KindNamed(request.get_param_value("kind"));
    response.set_content(service_.LookUp(kind.name, ClientAddress(request)),
                         "application/json");
  }

  void Work(const Request& request, Response& response) {
    RequireReady();
    const KindSpec kind = KindNamed(request.matches[1]);
    WorkRequest work;
    work.kind = kind.name;
    work.client_address = ClientAddress(request);
    work.key = ReadKey(request, kind);
    work.remaining = ReadDeadline(request, kind);
    work.content_type = request.get_header_value("Content-Type");
    work.body = request.body;
    work.exchange_id = request.get_header_value("Heather-Exchange-Id");
    if (work.exchange_id.empty()) {
      work.exchange_id = name_ + "-" + std::to_string(++exchanges_);
    }
    if (work.exchange_id.size() > kMaxExchangeBytes ||
        !IsPrintable(work.exchange_id)) {
      throw CallerError(kBadRequest,
                        "a Heather-Exchange-Id has at most 128 printable "
                        "characters without spaces");
    }
    const auto arrived = heathernet::EventLoop::Now();
    const WorkAnswer answer = RunAndWait(work);
    metrics_.OnAnswer(kind.name, answer,
                      heathernet::EventLoop::Now() - arrived);
    response.set_header("Heather-Exchange-Id", work.exchange_id);
    SetAnswer(response, answer);
  }

  WorkAnswer RunAndWait(const WorkRequest& work) {
    auto promise = std::make_shared<std::promise<WorkAnswer>>();
    std::future<WorkAnswer> answer = promise->get_future();
    service_.Submit(
        work, [promise](const WorkAnswer& done) { promise->set_value(done); });
    if (answer.wait_for(work.remaining + kAnswerGrace) !=
        std::future_status::ready) {
      return Unknown("entry-host-late");
    }
    return answer.get();
  }

  static void SetAnswer(Response& response, const WorkAnswer& answer) {
    const std::string outcome(RequestOutcomeName(answer.outcome));
    if (answer.retry_after > Duration(0)) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
      response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    if (answer.outcome == RequestOutcome::kDone) {
      response.status = kOk;
      response.set_header("Heather-Outcome", outcome);
      response.set_header("Heather-Backend", answer.backend);
      response.set_content(answer.body, answer.content_type.empty()
                                            ? "application/octet-stream"
                                            : answer.content_type);
      return;
    }
    if (answer.reason == "key-reused") {
      SetProblem(response, kUnprocessable, outcome, answer.reason,
                 "the Idempotency-Key was used for another request");
      return;
    }
    const bool not_run = answer.outcome == RequestOutcome::kNotRun;
    SetProblem(response, not_run ? kUnavailable : kGatewayTimeout, outcome,
               answer.reason,
               not_run ? "the request was not run"
                       : "the request may or may not have been run");
  }

  void Cancel(const Request& request, Response& response) {
    service_.Cancel(request.matches[1]);
    response.status = kAccepted;
  }

  CallerService& service_;
  EntryMetrics& metrics_;
  const std::string name_;
  std::atomic<int> in_progress_{0};
  std::atomic<std::uint64_t> exchanges_{0};
  std::uint16_t port_ = 0;
  // Last, as its requests use all others until it has stopped.
  heathernet::HttpServer server_;
};

CallerServer::CallerServer(const EntrySettings& settings,
                           CallerService& service,
                           EntryMetrics& metrics)
    : impl_(std::make_unique<Impl>(settings, service, metrics)) {}

CallerServer::~CallerServer() = default;

void CallerServer::StopAccepting() {
  impl_->StopAccepting();
}

std::uint16_t CallerServer::port() const {
  return impl_->port();
}

int CallerServer::in_progress() const {
  return impl_->in_progress();
}

}  // namespace heather_entry
