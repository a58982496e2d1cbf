#include "libheathergate/forwarded_request.h"

#include <absl/strings/numbers.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "heathergate/gateway.h"
#include "heathergate/head_writer.h"
#include "heathergate/http_exchange.h"
#include "heathergate/http_status.h"
#include "heathergate/pause_monitor.h"
#include "heathernet/event_loop.h"
#include "heathersteer/milliseconds.h"
#include "heathersteer/rejection.h"
#include "heathersteer/steering_rules.h"
#include "libheathergate/detour_field.h"
#include "libheathergate/leaving_server_field.h"
#include "libheathergate/load_report.h"
#include "libheathergate/rate_limit_field.h"
#include "libheathergate/request_fingerprint.h"
#include "libheathergate/retry_after_field.h"
#include "libheathergate/time_left.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathernet::EventLoop;
using heathersteer::AttemptOutcome;
using heathersteer::Milliseconds;
using heathersteer::NextStep;

// Time beyond the route's timeout in which a backend server's own response to
// the timeout can still arrive.
constexpr Duration kTimeoutSlack = std::chrono::milliseconds(100);

// Value of HeaderNames::server_leaving.
constexpr std::string_view kLeaving = "1";

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Maximum number of hosts to which a request is passed on until one handles it.
constexpr std::size_t kMaxDetours = 5;

// Maximum number of servers to which a request may be sent: the route's, or
// what the host that passed the request on has left of it.
int MaxAttempts(const heathersteer::Route& route, const std::string* detour) {
  const auto field = DetourField::Parse(detour == nullptr ? "" : *detour);
  return field ? std::min(field->attempts_left, route.max_attempts)
               : route.max_attempts;
}

// Statuses by which callers know that a request has not run.
bool StatesNotRun(int status) {
  return status == kStatusTooManyRequests || status == kStatusUnavailable ||
         status == kStatusMisdirected || status == kStatusRequestTimeout;
}

}  // namespace

ForwardedRequest::ForwardedRequest(
    Gateway& gateway,
    EventLoop& loop,
    std::shared_ptr<HttpExchange> exchange,
    std::shared_ptr<const heathersteer::TrafficConfig> config,
    const heathersteer::Route& route,
    const heathersteer::Service& service)
    : gateway_(gateway),
      exchange_(std::move(exchange)),
      config_(std::move(config)),
      route_(route),
      service_(service),
      policy_(
          route.idempotent,
          MaxAttempts(route,
                      exchange_->head().Find(gateway.options_.names.detour))),
      deadline_timer_(loop),
      queue_timer_(loop),
      failure_hold_(gateway.options_.buffers, [this] { failure_.reset(); }),
      detoured_(exchange_->head().Find(gateway.options_.names.detour) !=
                nullptr) {
  const HeaderNames& names = gateway_.options_.names;
  id_ = exchange_->head().Value(names.request_id);
  affinity_key_ = exchange_->head().Value(names.affinity_key);
  const Instant now = exchange_->received();
  const Duration left = ParseTimeLeft(exchange_->head().Value(names.time_left))
                            .value_or(route_.timeout);
  caller_deadline_ = now + left;
  deadline_ = now + std::min(left, route_.timeout);
}

void ForwardedRequest::Start() {
  exchange_->OnAbandoned([self = weak_from_this()] {
    if (const auto request = self.lock()) {
      request->OnAbandoned();
    }
  });
  const Instant last = std::min(caller_deadline_, deadline_ + kTimeoutSlack);
  deadline_timer_.Start(last - EventLoop::Now(), [this] { OnDeadline(); });
  if (detoured_) {
    ++gateway_.detoured_active_;
    ++gateway_.counters_.detoured;
  }
  const Instant now = EventLoop::Now();
  if (!gateway_.cut_off()) {
    // Otherwise the host that it is passed on to counts it.
    gateway_.Budget(service_.name).CountRequest(now);
  }
  if (gateway_.Throttle(route_.name).ShouldReject(now, gateway_.Random())) {
    ++gateway_.counters_.throttled;
    Reject("servers run out of time");
    return;
  }
  Place();
}

void ForwardedRequest::Place() {
  if (EndExpired()) {
    return;
  }
  if (gateway_.cut_off()) {
    Detour();
    return;
  }
  PlaceOrEnqueue();
}

void ForwardedRequest::PlaceOrEnqueue() {
  if (TryPlace() || ended_ || EndBackedOff()) {
    return;
  }
  if (last_choice_.limited_for > heathersteer::MaxQueueTime(route_)) {
    if (last_choice_.limited_by_cold) {
      ++gateway_.counters_.cold_rejections;
      EndUnplaced("servers are cold");
    } else {
      EndUnplaced("servers at their rate limits");
    }
    return;
  }
  Enqueue();
}

void ForwardedRequest::TryPlaceQueued() {
  if (!TryPlace() && !ended_) {
    EndBackedOff();
  }
}

bool ForwardedRequest::EndBackedOff() {
  const Duration backoff = last_choice_.backoff_left;
  if (backoff <= heathersteer::MaxQueueTime(route_)) {
    return false;
  }
  EndUnplaced("servers want no requests", backoff);
  return true;
}

void ForwardedRequest::Enqueue() {
  if (!gateway_.accepting_) {
    EndForStop();
    return;
  }
  if (ticket_ == 0) {
    ticket_ = gateway_.Enqueue(this, service_.name, route_.rank);
  }
  // The time in the queue counts from the end of a hold, if there is one.
  if (!gateway_.pauses_->on_hold()) {
    queue_timer_.Start(heathersteer::MaxQueueTime(route_),
                       [this] { OnQueueTimeout(); });
  }
}

void ForwardedRequest::OnQueueTimeout() {
  gateway_.pauses_->Check();
  if (gateway_.pauses_->on_hold()) {
    return;
  }
  if (exchange_->CheckClient()) {
    LogNoCapacity();
    EndUnplaced("no room");
  } else if (!ended_) {
    // Whether the caller still waits is not known yet, so the request could not
    // be sent.
    gateway_.Dequeue(std::exchange(ticket_, 0));
    Enqueue();
  }
}

void ForwardedRequest::Detour() {
  const auto* host =
      detoured_ || detour_hosts_.size() >= kMaxDetours
          ? nullptr
          : gateway_.detour_hosts_.Choose(route_.home_regions, detour_hosts_,
                                          EventLoop::Now());
  if (host != nullptr) {
    if (exchange_->CheckClient()) {
      SendDetour(*host);
    } else if (!ended_) {
      Enqueue();
    }
  } else if (detoured_ && !policy_.may_have_run()) {
    Finish(gateway_.DetourRejection(), "no backend server is reachable");
  } else {
    EndUnplaced("no backend server is reachable");
  }
}

void ForwardedRequest::SendDetour(const heathersteer::HostRegistration& host) {
  const std::size_t colon = host.caller_endpoint.rfind(':');
  int port = 0;
  detour_hosts_.push_back(host.name);
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(host.caller_endpoint.substr(colon + 1), &port)) {
    gateway_.detour_hosts_.RecordUnavailable(host.name, EventLoop::Now());
    Detour();
    return;
  }
  ++gateway_.counters_.detours;
  sent_at_ = EventLoop::Now();
  const DetourField field{
      .attempts_left = route_.max_attempts - policy_.sends(),
      .config_version = config_->version};
  call_ =
      SendTo({"host " + host.name, host.caller_endpoint.substr(0, colon),
              static_cast<std::uint16_t>(port)},
             {gateway_.options_.names.detour, field.Format()}, "",
             [self = weak_from_this(), name = host.name](CallResult result) {
               if (const auto request = self.lock()) {
                 request->OnDetourDone(name, std::move(result));
               }
             });
}

void ForwardedRequest::OnDetourDone(const std::string& host,
                                    CallResult result) {
  call_ = nullptr;
  const Instant now = EventLoop::Now();
  if (ended_) {
    return;
  }
  if (result.withdrawn) {
    detour_hosts_.pop_back();
    Place();
    return;
  }
  const bool broken = ClassifyResult(result) == AttemptOutcome::kBroken;
  if (result.outcome == CallOutcome::kAnswered && !broken &&
      result.head.Find(gateway_.options_.names.detour) == nullptr) {
    gateway_.detour_hosts_.RecordHandled(host, now);
    DeliverDetour(std::move(result));
    return;
  }
  gateway_.detour_hosts_.RecordUnavailable(host, now);
  if (broken) {
    spdlog::info("request id={} broken at host {} after {} ms: {}", id_, host,
                 Milliseconds(now - sent_at_), result.error);
    // All attempts that are left may have been made there.
    Fail(kStatusBadGateway, "outcome unknown");
    return;
  }
  Place();
}

// The other host has already replaced statuses of servers that would state
// falsely that the request has not run.
void ForwardedRequest::DeliverDetour(CallResult result) {
  if (StatesNotRun(result.head.status) && policy_.may_have_run()) {
    Fail(kStatusBadGateway, "outcome unknown");
    return;
  }
  ObserveLeavingElsewhere(result.head);
  HttpResponse response =
      HttpResponse::Of(result.head.status, std::move(result.body));
  response.head_length = "";
  AddFields(result.head, {}, response);
  DeliverResponse(std::move(response), result.head.status);
}

void ForwardedRequest::EndUnplaced(const char* reason, Duration available_in) {
  if (policy_.WithoutRetry() == NextStep::kFail) {
    Fail(kStatusBadGateway, "no room for a repeat");
  } else {
    Reject(reason, available_in);
  }
}

void ForwardedRequest::EndIfWaiting() {
  if (ticket_ != 0) {
    EndForStop();
  }
}

void ForwardedRequest::EndForStop() {
  if (ended_) {
    return;
  }
  if (policy_.may_have_run() || (call_ != nullptr && call_->sent())) {
    Fail(kStatusBadGateway, kStoppingReason);
  } else if (detoured_) {
    Finish(gateway_.DetourRejection(), kStoppingReason);
  } else {
    Finish(gateway_.RejectionFor(Duration(0)), kStoppingReason);
  }
}

bool ForwardedRequest::TryPlace() {
  gateway_.pauses_->Check();
  if (EndExpired()) {
    return false;
  }
  const Instant now = EventLoop::Now();
  if (gateway_.cut_off()) {
    // It was queued before this host was cut off.
    if (ticket_ != 0) {
      gateway_.Dequeue(std::exchange(ticket_, 0));
      queue_timer_.Cancel();
    }
    Detour();
    return true;
  }
  if (gateway_.pauses_->on_hold()) {
    last_choice_ = {};
    return false;
  }
  if (EndQuarantined()) {
    return false;
  }
  gateway_.placement_.set_servers_uncertain(
      gateway_.pauses_->state_uncertain());
  heathersteer::SteeringRules* rules = gateway_.rules_.get();
  const auto rule =
      rules == nullptr ? std::nullopt : rules->RuleFor(route_, service_.name);
  const heathersteer::PlacementRequest request{
      .route = &route_,
      .service = &service_,
      .affinity_key = affinity_key_.empty() ? std::string_view(id_)
                                            : std::string_view(affinity_key_),
      .tried = &tried_,
      .rules = rules,
      .rule_index = rule,
      .counts_as_demand = !shift_observed_,
      .shift_limiter =
          route_.home_regions.empty() ? &gateway_.shift_limiter_ : nullptr};
  const auto choice =
      gateway_.placement_.Choose(gateway_.servers_, request, now);
  ObserveShift(choice, now);
  if (choice.server == nullptr) {
    last_choice_ = choice;
    return false;
  }
  // After the event loop was blocked, the request may be handled before the end
  // of its connection.
  if (!exchange_->CheckClient()) {
    last_choice_ = {};
    return false;
  }
  if (ticket_ != 0) {
    gateway_.Dequeue(std::exchange(ticket_, 0));
    queue_timer_.Cancel();
  }
  const bool shifted =
      choice.server->server.region != gateway_.options_.placement.region;
  gateway_.shift_limiter_.Sent(shifted, now);
  if (rules != nullptr) {
    rules->CountSent(rule, shifted, now);
  }
  Send(choice.server);
  return true;
}

void ForwardedRequest::ObserveShift(const heathersteer::PlacementChoice& choice,
                                    Instant now) {
  if (choice.region_impaired) {
    gateway_.shift_limiter_.MarkImpaired(now);
  }
  if (!std::exchange(shift_observed_, true)) {
    gateway_.shift_limiter_.Observe(choice.would_shift, now);
  }
}

void ForwardedRequest::Send(std::shared_ptr<heathersteer::ServerState> server) {
  server_ = std::move(server);
  sent_at_ = EventLoop::Now();
  server_was_cold_ = server_->cold(sent_at_);
  gateway_.placement_.Commit(*server_, sent_at_);
  ++gateway_.counters_.sends;
  if (!gateway_.crash_suspects_.empty()) {
    gateway_.crash_suspects_.RecordSend(Fingerprint(), sent_at_);
  }
  if (server_->rate_limit.limit() > 0) {
    ++gateway_.counters_.limited_sends;
  }
  const heathersteer::BackendServer& target = server_->server;
  call_ = SendTo({target.id, target.address, target.port},
                 {gateway_.options_.names.target_server, target.id},
                 MakeBarrierHead(target),
                 [self = weak_from_this()](CallResult result) {
                   if (const auto request = self.lock()) {
                     request->OnCallDone(std::move(result));
                   }
                 });
}

// A timer or the caller may end the request while the call is in flight, so the
// call holds no strong reference to it.
std::shared_ptr<HttpCall> ForwardedRequest::SendTo(const HttpPeer& peer,
                                                   HeaderField target,
                                                   std::string barrier_head,
                                                   HttpCall::Done done) {
  return gateway_.client_.Send(
      peer, exchange_->head().method,
      [self = weak_from_this(),
       target = std::move(target)]() -> std::optional<std::string> {
        const auto request = self.lock();
        return request == nullptr ? std::nullopt : request->MakeHead(target);
      },
      exchange_->shared_body(),
      {.echo = id_, .barrier_head = std::move(barrier_head)}, std::move(done));
}

std::string ForwardedRequest::MakeBarrierHead(
    const heathersteer::BackendServer& target) const {
  if (service_.health_path.empty()) {
    return "";
  }
  auto head = HeadWriter::ForRequest("GET", service_.health_path);
  head.AddField("Host", target.address + ":" + std::to_string(target.port));
  head.AddField(gateway_.options_.names.target_server, target.id);
  return std::move(head).Finish();
}

std::optional<std::string> ForwardedRequest::MakeHead(
    const HeaderField& target) const {
  gateway_.pauses_->Check();
  const Instant now = EventLoop::Now();
  const Duration left = deadline_ - now;
  if (left <= Duration(0) || gateway_.pauses_->ended_at() > sent_at_) {
    return std::nullopt;
  }
  if (server_ != nullptr &&
      !heathersteer::Placement::ConfirmSend(*server_, server_was_cold_, now)) {
    return std::nullopt;
  }
  const HeaderNames& names = gateway_.options_.names;
  const HttpHead& head = exchange_->head();
  const std::string* connection = head.Find("Connection");
  auto text = HeadWriter::ForRequest(head.method, head.target);
  for (const HeaderField& field : head.fields) {
    if (IsHopByHopField(field.name, connection) ||
        SameName(field.name, names.time_left) ||
        SameName(field.name, names.target_server) ||
        SameName(field.name, names.detour)) {
      continue;
    }
    text.AddField(field.name, field.value);
  }
  text.AddField(
      names.time_left,
      static_cast<std::size_t>(std::max<std::int64_t>(1, Milliseconds(left))));
  text.AddField(target.name, target.value);
  if (!exchange_->body().empty() || head.Find("Content-Length") != nullptr ||
      head.Find("Transfer-Encoding") != nullptr) {
    text.AddField("Content-Length", exchange_->body().size());
  }
  return std::move(text).Finish();
}

void ForwardedRequest::OnCallDone(CallResult result) {
  call_ = nullptr;
  if (result.withdrawn) {
    ReleaseServer();
    if (!ended_) {
      Place();
    }
    return;
  }
  const AttemptOutcome outcome = ClassifyResult(result);
  UpdateServerHealth(result, outcome);
  tried_.push_back(server_->server.id);
  ReleaseServer();
  if (ended_) {
    return;
  }
  Proceed(policy_.After(outcome), std::move(result));
}

AttemptOutcome ForwardedRequest::ClassifyResult(
    const CallResult& result) const {
  if (result.outcome == CallOutcome::kNotSent) {
    return AttemptOutcome::kNotSent;
  }
  if (result.outcome == CallOutcome::kBroken) {
    return AttemptOutcome::kBroken;
  }
  const HeaderNames& names = gateway_.options_.names;
  if (result.head.Find(names.not_executed) != nullptr ||
      result.head.status == kStatusMisdirected) {
    return AttemptOutcome::kNotExecuted;
  }
  // The gateway requests no encoding, and a server signs its responses.
  const bool genuine = result.head.Find("Content-Encoding") == nullptr &&
                       result.head.Find(names.signature) != nullptr &&
                       result.head.Find(names.request_id) != nullptr;
  if (IsSuccess(result.head.status) && !genuine) {
    return AttemptOutcome::kBroken;
  }
  return result.head.status >= kStatusServerError ? AttemptOutcome::kServerError
                                                  : AttemptOutcome::kAnswered;
}

std::uint64_t ForwardedRequest::Fingerprint() {
  if (!fingerprint_) {
    fingerprint_ = RequestFingerprint(*exchange_, gateway_.options_.names);
  }
  return *fingerprint_;
}

bool ForwardedRequest::EndQuarantined() {
  if (gateway_.crash_suspects_.empty()) {
    return false;
  }
  const Duration left =
      gateway_.crash_suspects_.QuarantineLeft(Fingerprint(), EventLoop::Now());
  if (left == Duration(0)) {
    return false;
  }
  ++gateway_.counters_.quarantined;
  if (policy_.may_have_run()) {
    Fail(kStatusBadGateway, "it crashes servers");
  } else {
    Finish(gateway_.RejectionFor(left), "it crashes servers");
  }
  return true;
}

void ForwardedRequest::RecordCrash() {
  const heathersteer::BackendServer& server = server_->server;
  const Instant now = EventLoop::Now();
  heathersteer::CrashSuspectTable& suspects = gateway_.crash_suspects_;
  const bool was_quarantined =
      suspects.QuarantineLeft(Fingerprint(), now) > Duration(0);
  const bool news =
      suspects.RecordCrash(Fingerprint(),
                           heathersteer::CrashSuspectTable::Incarnation(
                               server.id, server.started_ms),
                           now);
  if (!news) {
    return;
  }
  if (!was_quarantined &&
      suspects.QuarantineLeft(Fingerprint(), now) > Duration(0)) {
    spdlog::warn(
        "request id={} fingerprint={:016x} quarantined: servers ended under it",
        id_, Fingerprint());
  }
  gateway_.on_crash_suspect_();
}

void ForwardedRequest::RecordCompletion() {
  if (!gateway_.crash_suspects_.empty() &&
      gateway_.crash_suspects_.RecordCompletion(Fingerprint(),
                                                EventLoop::Now())) {
    gateway_.on_crash_suspect_();
  }
}

void ForwardedRequest::UpdateServerHealth(const CallResult& result,
                                          AttemptOutcome outcome) {
  const Instant now = EventLoop::Now();
  heathersteer::ServerHealth& health = server_->health;
  if (result.outcome != CallOutcome::kAnswered) {
    ++gateway_.counters_.broken_sends;
    if (!result.unreachable || !gateway_.cut_off()) {
      health.RecordFailure(now);
    }
    if (result.unreachable) {
      gateway_.OnServerUnreachable(server_->server.id);
    }
    spdlog::info(
        "request id={} broken at {} after {} ms: {}; suspended={} "
        "fingerprint={:016x}",
        id_, server_->server.id, Milliseconds(now - sent_at_), result.error,
        !health.usable(now), Fingerprint());
    if (result.outcome == CallOutcome::kBroken && result.ended_by_peer) {
      RecordCrash();
    }
    return;
  }
  const auto load =
      ParseLoadReport(result.head.Value(gateway_.options_.names.server_load));
  if (load) {
    server_->load.Report(load->running, load->waiting, now);
  }
  if (outcome != AttemptOutcome::kBroken) {
    ObserveRateLimit(result, now);
    ObserveLeaving(result, now);
    ObserveBackoff(result, now);
  }
  if (outcome != AttemptOutcome::kNotExecuted) {
    RecordCompletion();
    health.RecordResponse(now - sent_at_, now);
    return;
  }
  ++gateway_.counters_.server_refusals;
  if (result.head.status == kStatusMisdirected) {
    health.RecordFailure(now);
  } else if (load && load->running < load->slots) {
    health.RecordRefusal(now);
  }
}

void ForwardedRequest::ObserveRateLimit(const CallResult& result, Instant now) {
  // Another process may have taken over the address.
  if (result.head.status == kStatusMisdirected) {
    return;
  }
  const std::string& name = gateway_.options_.names.server_limit;
  const std::string* text = result.head.Find(name);
  const std::optional<double> limit =
      text == nullptr ? 0 : ParseRateLimit(*text);
  if (!limit) {
    spdlog::warn(
        "request id={} {}=\"{}\" of {} ignored: not a rate in decimals", id_,
        name, *text, server_->server.id);
    return;
  }
  if (server_->rate_limit.Observe(*limit, now)) {
    spdlog::info("backend server {} states limit={} requests/s",
                 server_->server.id, *limit);
  }
}

void ForwardedRequest::ObserveLeaving(const CallResult& result, Instant now) {
  leaving_server_.clear();
  const std::string& name = gateway_.options_.names.server_leaving;
  const std::string* text = result.head.Find(name);
  // Another process may have taken over the address.
  if (text == nullptr || result.head.status == kStatusMisdirected) {
    return;
  }
  const heathersteer::BackendServer& server = server_->server;
  if (*text != kLeaving) {
    spdlog::warn("request id={} {}=\"{}\" of {} ignored: not {}", id_, name,
                 *text, server.id, kLeaving);
    return;
  }
  leaving_server_ =
      LeavingServerField{.id = server.id, .started_ms = server.started_ms}
          .Format();
  if (gateway_.servers_.RecordLeaving(server.id, server.started_ms, now)) {
    spdlog::info("backend server {} states that it is leaving", server.id);
  }
}

// 429 is a limit of the caller whose request it is, so other callers' requests
// still go to the server.
void ForwardedRequest::ObserveBackoff(const CallResult& result, Instant now) {
  const std::string* text = result.head.Find(kRetryAfter);
  if (text == nullptr || result.head.status != kStatusUnavailable) {
    return;
  }
  const heathersteer::BackendServer& server = server_->server;
  const auto delay = ParseRetryAfter(*text);
  if (!delay) {
    spdlog::warn(
        "request id={} {}=\"{}\" of {} ignored: not seconds in decimals", id_,
        kRetryAfter, *text, server.id);
    return;
  }
  if (delay->count() == 0) {
    return;
  }
  ++gateway_.counters_.server_backoffs;
  if (gateway_.servers_.RecordBackoff(server.id, server.started_ms, *delay,
                                      now)) {
    spdlog::info(
        "backend server {} wants no requests from this host for {} s{}",
        server.id, delay->count(),
        *delay > heathersteer::ServerBackoffs::kMaxDelay ? ", kept for 1 h"
                                                         : "");
  }
}

void ForwardedRequest::ObserveLeavingElsewhere(const HttpHead& head) {
  const std::string& name = gateway_.options_.names.leaving_server;
  const std::string* text = head.Find(name);
  if (text == nullptr) {
    return;
  }
  const auto server = LeavingServerField::Parse(*text);
  if (!server) {
    spdlog::warn("request id={} {}=\"{}\" of host {} ignored", id_, name, *text,
                 detour_hosts_.back());
    return;
  }
  if (gateway_.servers_.RecordLeaving(server->id, server->started_ms,
                                      EventLoop::Now())) {
    spdlog::info("backend server {} is leaving, reported by host {}",
                 server->id, detour_hosts_.back());
  }
}

void ForwardedRequest::Proceed(NextStep step, CallResult result) {
  switch (step) {
    case NextStep::kDeliver:
      Deliver(std::move(result));
      return;
    case NextStep::kRetry:
      Retry(std::move(result));
      return;
    case NextStep::kPlaceAgain:
      Place();
      return;
    case NextStep::kReject:
      Reject("no server took it");
      return;
    case NextStep::kFail:
      Fail(kStatusBadGateway, "outcome unknown");
      return;
  }
}

void ForwardedRequest::Retry(CallResult result) {
  const Instant now = EventLoop::Now();
  if (now >= deadline_) {
    KeepFailure(std::move(result));
    OnDeadline();
    return;
  }
  if (gateway_.Budget(service_.name).TryRetry(now, gateway_.host_count_)) {
    ++gateway_.counters_.retries;
    KeepFailure(std::move(result));
    Place();
    return;
  }
  KeepFailure(std::move(result));
  Proceed(policy_.WithoutRetry(), {});
}

void ForwardedRequest::KeepFailure(CallResult result) {
  if (ClassifyResult(result) != AttemptOutcome::kServerError) {
    return;
  }
  const std::size_t bytes = result.body.size();
  failed_server_ = tried_.back();
  failure_ = std::move(result);
  failure_hold_.HoldResponse(bytes);
}

HttpResponse ForwardedRequest::ResponseOf(CallResult result) const {
  HttpResponse response =
      HttpResponse::Of(result.head.status, std::move(result.body));
  // Hosts of builds that don't know of responses without a body would wait for
  // one of the stated length.
  if (!detoured_) {
    response.head_length = result.head.Value("Content-Length");
  }
  const bool changed = StatesNotRun(response.status);
  if (changed) {
    // The request has run, so a status that states the contrary isn't passed
    // on, nor is the signature that covers it.
    response.status = kStatusBadGateway;
  }
  AddFields(result.head, changed ? gateway_.options_.names.signature : "",
            response);
  if (changed) {
    // The server told this host when to ask it again. Other hosts may serve the
    // caller before.
    std::erase_if(response.fields, [](const HeaderField& field) {
      return SameName(field.name, kRetryAfter);
    });
  }
  return response;
}

void ForwardedRequest::AddFields(const HttpHead& head,
                                 const std::string& dropped_field,
                                 HttpResponse& response) const {
  const HeaderNames& names = gateway_.options_.names;
  const std::string* connection = head.Find("Connection");
  for (const HeaderField& field : head.fields) {
    if (!IsHopByHopField(field.name, connection) &&
        !SameName(field.name, dropped_field) &&
        !SameName(field.name, names.detour) &&
        !SameName(field.name, names.leaving_server)) {
      response.fields.push_back(field);
    }
  }
  if (detoured_ && !leaving_server_.empty()) {
    response.fields.push_back({names.leaving_server, leaving_server_});
  }
}

void ForwardedRequest::Deliver(CallResult result) {
  const int status = result.head.status;
  DeliverResponse(ResponseOf(std::move(result)), status);
}

void ForwardedRequest::DeliverResponse(HttpResponse response,
                                       int server_status) {
  heathersteer::OverloadThrottle& throttle = gateway_.Throttle(route_.name);
  if (server_status == kStatusGatewayTimeout) {
    throttle.RecordTimeout(EventLoop::Now());
  } else {
    throttle.RecordServed(EventLoop::Now());
  }
  ++gateway_.counters_.delivered;
  gateway_.latencies_[route_.rank].Record(EventLoop::Now() -
                                          exchange_->received());
  Finish(std::move(response), "answered");
}

void ForwardedRequest::Reject(const char* reason, Duration available_in) {
  Finish(gateway_.Rejection(caller_deadline_ - EventLoop::Now(), available_in),
         reason);
}

void ForwardedRequest::Fail(int status, const char* reason) {
  ++gateway_.counters_.failed;
  auto failure = std::exchange(failure_, std::nullopt);
  failure_hold_.Release();
  if (!failure) {
    Finish(HttpResponse::Of(status), reason);
    return;
  }
  spdlog::info("request id={} gets the failure of {} in place of status {}",
               id_, failed_server_, status);
  Finish(ResponseOf(*std::move(failure)), reason);
}

void ForwardedRequest::OnDeadline() {
  const bool sent = call_ != nullptr && call_->sent();
  if (!sent && !policy_.may_have_run()) {
    Reject("deadline passed before it was sent");
    return;
  }
  if (sent && server_ == nullptr && call_->received_bytes() == 0) {
    gateway_.detour_hosts_.RecordUnavailable(detour_hosts_.back(),
                                             EventLoop::Now());
  }
  if (sent) {
    gateway_.Throttle(route_.name).RecordTimeout(EventLoop::Now());
  }
  Fail(kStatusGatewayTimeout, "deadline passed");
}

bool ForwardedRequest::EndExpired() {
  if (EventLoop::Now() < deadline_) {
    return false;
  }
  OnDeadline();
  return true;
}

void ForwardedRequest::OnAbandoned() {
  ++gateway_.counters_.abandoned;
  Log(0, "client left");
  End();
}

void ForwardedRequest::Finish(HttpResponse response, const char* reason) {
  if (!id_.empty() &&
      std::none_of(response.fields.begin(), response.fields.end(),
                   [&](const HeaderField& field) {
                     return SameName(field.name,
                                     gateway_.options_.names.request_id);
                   })) {
    response.fields.push_back({gateway_.options_.names.request_id, id_});
  }
  Log(response.status, reason);
  const auto exchange = exchange_;
  End();
  exchange->Respond(std::move(response));
}

void ForwardedRequest::End() {
  if (ended_) {
    return;
  }
  ended_ = true;
  if (detoured_) {
    --gateway_.detoured_active_;
  }
  deadline_timer_.Cancel();
  queue_timer_.Cancel();
  if (ticket_ != 0) {
    gateway_.Dequeue(std::exchange(ticket_, 0));
  }
  if (const auto call = std::exchange(call_, nullptr)) {
    call->Cancel();
    ReleaseServer();
  }
  gateway_.Release(this);
}

void ForwardedRequest::ReleaseServer() {
  if (const auto server = std::exchange(server_, nullptr)) {
    server->load.Finished();
    gateway_.PlaceQueued(service_.name);
  }
}

void ForwardedRequest::LogNoCapacity() const {
  const auto& preferred = last_choice_.preferred;
  if (preferred == nullptr) {
    spdlog::info("request id={} finds no usable server of {}", id_,
                 service_.name);
    return;
  }
  const Instant now = EventLoop::Now();
  spdlog::info(
      "request id={} finds no room: candidates={} first={} load={:.1f} "
      "own={} limit={:.1f} report_age_ms={}",
      id_, last_choice_.candidate_count, preferred->server.id,
      preferred->load.Estimate(now), preferred->load.local_in_flight(),
      gateway_.placement_.ConcurrencyLimit(*preferred, route_, now),
      Milliseconds(preferred->load.report_age(now)));
}

void ForwardedRequest::Log(int status, const char* reason) const {
  const Instant now = EventLoop::Now();
  // A call that is cancelled hasn't completed, so its server isn't in tried_.
  std::vector<std::string> servers = tried_;
  int sends = policy_.sends();
  if (server_ != nullptr) {
    servers.push_back(server_->server.id);
    sends += call_ != nullptr && call_->sent() ? 1 : 0;
  }
  spdlog::info(
      "request id={} route={} rank={} status={} reason=\"{}\" sends={} "
      "servers={} detours={} took_ms={} left_ms={} config={}",
      id_, route_.name, route_.rank, status, reason, sends,
      fmt::join(servers, ","), fmt::join(detour_hosts_, ","),
      Milliseconds(now - exchange_->received()),
      Milliseconds(caller_deadline_ - now), config_->version);
}

}  // namespace heathergate
