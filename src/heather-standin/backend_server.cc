#include "heather-standin/backend_server.h"

#include <algorithm>

#include "heather-standin/control_server.h"
#include "heather-standin/fault_fields.h"

namespace heather_standin {
namespace {

using Json = nlohmann::json;

constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kDeadlinePassed = 504;
constexpr std::size_t kDefaultAnswerBytes = 200;
constexpr std::size_t kMaxAnswerBytes = 64 << 20;
constexpr char kRetryAfterSeconds[] = "1";
constexpr char kJsonType[] = "application/json";
constexpr char kExchangeHeader[] = "X-Exchange-Id";
constexpr char kKeyHeader[] = "Idempotency-Key";
constexpr char kDeadlineHeader[] = "X-Deadline-Ms";

using Clock = ExchangeTable::Clock;

void SetJson(httplib::Response& response, const Json& body) {
  response.set_content(body.dump(), kJsonType);
}

void AnswerNotRun(httplib::Response& response, int status, const char* reason) {
  response.status = status;
  response.set_header("X-Not-Run", "true");
  response.set_header("X-Not-Run-Reason", reason);
  SetJson(response, {{"not_run", reason}});
}

void AnswerShed(httplib::Response& response, const char* reason) {
  AnswerNotRun(response, kUnavailable, reason);
  response.set_header("Retry-After", kRetryAfterSeconds);
}

// A header's whole number; `fallback` if the header is absent or not one.
std::int64_t NumberHeader(const httplib::Request& request,
                          const char* name,
                          std::int64_t fallback) {
  const std::string text = request.get_header_value(name);
  if (text.empty() || text.size() > 12 ||
      !std::all_of(text.begin(), text.end(), ::isdigit)) {
    return fallback;
  }
  return std::stoll(text);
}

Clock::time_point Deadline(const httplib::Request& request) {
  const std::int64_t left_ms = NumberHeader(request, kDeadlineHeader, -1);
  return left_ms < 0 ? Clock::time_point::max()
                     : Clock::now() + std::chrono::milliseconds(left_ms);
}

}  // namespace

BackendServer::BackendServer(const BackendOptions& options)
    : options_(options),
      exchanges_(options.slots),
      generator_(options.seed),
      cold_until_(Clock::now() + options.cold_time) {
  server_.set_connection_limit(options.max_connections);
  server_.Post("/work/([^/]+)", Bound(&BackendServer::HandleWork));
  server_.Delete("/work/([^/]+)", Bound(&BackendServer::HandleCancel));
  server_.Get("/health", Bound(&BackendServer::HandleHealth));
  server_.Get("/load", Bound(&BackendServer::HandleLoad));
  AddControlRoutes(
      server_, [this](const Json& faults) { SetFaults(faults); },
      [this] { return Statistics(); });
  server_.Post("/standin/cold", Bound(&BackendServer::HandleCold));
  server_.Get("/standin/runs", Bound(&BackendServer::HandleRuns));
}

BackendServer::~BackendServer() {
  Stop();
}

std::uint16_t BackendServer::Start(const std::string& address,
                                   std::uint16_t port) {
  return server_.Start(address, port);
}

void BackendServer::Stop() {
  server_.Stop();
}

void BackendServer::SetFaults(const Json& faults) {
  const auto number = [](std::atomic<std::int64_t>& field) {
    return [&field](const Json& value) { field = value.get<std::int64_t>(); };
  };
  const auto flag = [](std::atomic<bool>& field) {
    return [&field](const Json& value) { field = value.get<bool>(); };
  };
  const auto counted = [](CountedFault& fault) {
    return
        [&fault](const Json& value) { fault.Set(value.get<std::int64_t>()); };
  };
  const FaultFields fields(
      {{"load_lag_ms", number(load_lag_ms_)},
       {"load_lie", number(load_lie_)},
       {"unhealthy", flag(unhealthy_)},
       {"health_lie", flag(health_lie_)},
       {"leaving",
        [this](const Json& value) { SetLeaving(value.get<bool>()); }},
       {"slow_factor",
        [this](const Json& value) { slow_factor_ = value.get<double>(); }},
       {"die_after_effect", counted(die_after_effect_)},
       {"truncate_next", counted(truncate_next_)},
       {"swap_next", counted(swap_next_)}});
  fields.Apply(faults);
}

void BackendServer::SetCold() {
  const std::lock_guard<std::mutex> lock(mutex_);
  cold_until_ = Clock::now() + options_.cold_time;
}

Json BackendServer::Statistics() {
  const ExchangeTable::Counts counts = exchanges_.counts();
  const StandinServer::ConnectionCounts connections =
      server_.connection_counts();
  const std::lock_guard<std::mutex> lock(mutex_);
  return {{"name", options_.name},
          {"slots", options_.slots},
          {"runs", counts.runs},
          {"shed", counts.shed},
          {"refused_deadline", counts.refused_deadline},
          {"cancelled", counts.cancelled},
          {"over_slots", counts.over_slots},
          {"peak_in_flight", counts.peak_in_flight},
          {"in_flight", counts.in_flight},
          {"work_while_leaving", work_while_leaving_},
          {"last_work_after_leaving_ms", last_work_after_leaving_ms_},
          {"connections", connections.open},
          {"peak_connections", connections.peak},
          {"refused_connections", connections.refused}};
}

Json BackendServer::Runs() {
  return exchanges_.Runs();
}

httplib::Server::Handler BackendServer::Bound(Handler handler) {
  return [this, handler](const httplib::Request& request,
                         httplib::Response& response) {
    (this->*handler)(request, response);
  };
}

void BackendServer::HandleWork(const httplib::Request& request,
                               httplib::Response& response) {
  const std::string exchange = request.get_header_value(kExchangeHeader);
  response.set_header(kExchangeHeader, exchange);
  if (leaving_) {
    CountWorkWhileLeaving();
    exchanges_.Shed();
    AnswerShed(response, "leaving");
    return;
  }
  if (!exchanges_.Begin(exchange)) {
    AnswerShed(response, "no free slot");
    return;
  }
  RunWork(request, response, exchange);
}

void BackendServer::RunWork(const httplib::Request& request,
                            httplib::Response& response,
                            const std::string& exchange) {
  const Clock::time_point deadline = Deadline(request);
  const Clock::duration service_time = DrawServiceTime();
  if (deadline != Clock::time_point::max() &&
      Clock::now() + service_time > deadline) {
    exchanges_.RefuseDeadline(exchange);
    AnswerNotRun(response, kDeadlinePassed, "deadline");
    return;
  }
  switch (exchanges_.Run(exchange, request.get_header_value(kKeyHeader),
                         service_time, deadline)) {
    case ExchangeTable::Outcome::kCancelled:
      AnswerNotRun(response, kConflict, "cancelled");
      return;
    case ExchangeTable::Outcome::kTooLate:
      AnswerNotRun(response, kDeadlinePassed, "deadline");
      return;
    case ExchangeTable::Outcome::kRan:
      Answer(request, response, exchange);
  }
}

void BackendServer::Answer(const httplib::Request& request,
                           httplib::Response& response,
                           const std::string& exchange) {
  if (die_after_effect_.Strike()) {
    StandinServer::DropAnswer();
    return;
  }
  std::string shown_exchange = exchange;
  std::string shown_key = request.get_header_value(kKeyHeader);
  if (swap_next_.Strike()) {
    const std::string other = exchanges_.OtherExchange(exchange);
    shown_exchange = other.empty() ? "other-" + exchange : other;
    shown_key = "";
    response.headers.erase(kExchangeHeader);
    response.set_header(kExchangeHeader, shown_exchange);
  }
  std::string body = Json{
      {"exchange", shown_exchange},
      {"key", shown_key},
      {"kind", request.matches[1].str()},
      {"backend",
       options_.name}}.dump();
  const auto wanted = static_cast<std::size_t>(
      NumberHeader(request, "X-Answer-Bytes", kDefaultAnswerBytes));
  // Spaces after the object leave the body valid JSON.
  body.resize(std::max(body.size(), std::min(wanted, kMaxAnswerBytes)), ' ');
  response.set_content(body, kJsonType);
  if (truncate_next_.Strike()) {
    // The head takes some of these bytes, so the body always falls short.
    StandinServer::TruncateAnswer(body.size());
  }
}

void BackendServer::HandleCancel(const httplib::Request& request,
                                 httplib::Response& response) {
  const bool stopped = exchanges_.Cancel(request.matches[1]) ==
                       ExchangeTable::Cancellation::kStopped;
  SetJson(response, {{"stopped_before_effect", stopped}});
}

void BackendServer::HandleHealth(const httplib::Request&,
                                 httplib::Response& response) {
  const bool healthy = !unhealthy_ && !leaving_;
  const bool shown = health_lie_ ? !healthy : healthy;
  response.status = shown ? 200 : kUnavailable;
  const char* status = leaving_ ? "leaving" : "failing";
  SetJson(response, {{"status", shown ? "passing" : status}});
}

void BackendServer::HandleLoad(const httplib::Request&,
                               httplib::Response& response) {
  const std::int64_t lie = load_lie_;
  const std::chrono::milliseconds lag(load_lag_ms_.load());
  const std::int64_t in_flight =
      lie >= 0 ? lie : exchanges_.InFlightBefore(lag);
  SetJson(response, {{"in_flight", in_flight}, {"slots", options_.slots}});
}

void BackendServer::HandleCold(const httplib::Request&,
                               httplib::Response& response) {
  SetCold();
  SetJson(response, Json::object());
}

void BackendServer::HandleRuns(const httplib::Request&,
                               httplib::Response& response) {
  SetJson(response, Runs());
}

BackendServer::Clock::duration BackendServer::DrawServiceTime() {
  const std::lock_guard<std::mutex> lock(mutex_);
  double factor = slow_factor_;
  if (Clock::now() < cold_until_) {
    factor *= options_.cold_factor;
  }
  if (options_.distribution == ServiceDistribution::kExponential) {
    factor *= std::exponential_distribution<double>(1.0)(generator_);
  }
  return std::chrono::duration_cast<Clock::duration>(options_.service_time *
                                                     factor);
}

void BackendServer::CountWorkWhileLeaving() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++work_while_leaving_;
  last_work_after_leaving_ms_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                            leaving_since_)
          .count();
}

void BackendServer::SetLeaving(bool leaving) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (leaving && !leaving_) {
    leaving_since_ = Clock::now();
  }
  leaving_ = leaving;
}

}  // namespace heather_standin
