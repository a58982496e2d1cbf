#include "heathergate/fleet_agent.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <limits>
#include <random>
#include <utility>

#include "heathergate/http_exchange.h"
#include "heathergate/http_status.h"
#include "heathergate/listen_address.h"
#include "heathergate/pause_monitor.h"
#include "heathernet/event_loop.h"
#include "heathersteer/hash.h"
#include "heathersteer/milliseconds.h"
#include "libheathergate/limit_exchange.h"
#include "libheathergate/peer_query.h"
#include "libheathergate/relay_codec.h"
#include "libheathergate/store_reader.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathernet::EventLoop;
using heathersteer::BackendServer;
using heathersteer::DocumentDelta;
using heathersteer::HostRegistration;
using heathersteer::Listing;
using heathersteer::OperatorState;
using heathersteer::StoreVersion;

// Delay before a failed registration, or a failed read of them, is retried.
constexpr Duration kRetryDelay = std::chrono::milliseconds(600);
// Interval between reads of the hosts' registrations. It can be long, since
// hosts that follow this one announce themselves with their relay requests.
constexpr Duration kHostsReadInterval = std::chrono::seconds(12);
// Delay before the second read of the registrations after the start. By then
// all hosts that started together have registered.
constexpr Duration kSecondHostsReadDelay = std::chrono::seconds(2);
// Mean time between the reads of two hosts if all hosts read the registrations
// anew, so that the load of the store does not grow with their number.
constexpr Duration kHostsReadSpacing = std::chrono::milliseconds(40);
// Time allowed for a response beyond the long-poll timeout.
constexpr Duration kResponseSlack = std::chrono::milliseconds(300);
// Delay before the next host is followed after a failure.
constexpr Duration kFollowRetryDelay = std::chrono::milliseconds(20);

// Interval between two exchanges of limits and demand while there are limits.
constexpr Duration kLimitsInterval = std::chrono::milliseconds(450);
// Delay before newly suspected requests are sent, so that those of one crash go
// together.
constexpr Duration kSuspectsDelay = std::chrono::milliseconds(15);
// Interval between messages on suspects while new ones keep coming, and number
// of messages that may follow each other sooner. Many servers may end at once,
// and a relay notifies every host of its domain.
constexpr Duration kSuspectsInterval = std::chrono::milliseconds(150);
constexpr int kSuspectsBurst = 4;
// Age from which on limits are not passed on.
constexpr Duration kMaxLimitsAge = std::chrono::seconds(1);

// Differs from any sequence number of a host.
constexpr std::uint64_t kNoSequence = std::numeric_limits<std::uint64_t>::max();
// Allowance for late timers and a slow read in the age of a relay's list.
constexpr Duration kReadSlack = std::chrono::milliseconds(100);

constexpr const char* kRelayPath = "/relay";
// A peer gets the list of servers only if its own list is older by more than
// this.
constexpr Duration kMinAgeGain = std::chrono::milliseconds(200);

HttpClientOptions ClientOptions() {
  HttpClientOptions options;
  options.connect_timeout = std::chrono::milliseconds(250);
  options.ack_timeout = std::chrono::milliseconds(600);
  return options;
}

std::string RandomIncarnation() {
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device());
}

// A host that sends a response counts itself and this one, if it knows the
// number of hosts.
bool KnowsHosts(const RelayResponse& response) {
  return response.host_count > 1;
}

}  // namespace

// A long-poll request that waits for an update.
struct FleetAgent::PendingRequest {
  std::shared_ptr<HttpExchange> exchange;
  RelayRequest request;
  Instant deadline{0};
};

FleetAgent::FleetAgent(EventLoop& loop,
                       FleetSource& source,
                       const HostRegistration& self,
                       const FleetOptions& options,
                       FleetListener listener)
    : source_(source),
      pauses_(options.pauses),
      listener_(std::move(listener)),
      timing_(
          heathersteer::PropagationTiming::Within(options.propagation_bound)),
      reader_(std::make_unique<StoreReader>(loop,
                                            source,
                                            timing_,
                                            MakeReaderCallbacks())),
      relay_order_(self),
      servers_(options.report_interval),
      client_(loop, ClientOptions()),
      peer_query_(std::make_unique<PeerQuery>(
          loop,
          [this] { return MakeQuery(); },
          [this](const RelayResponse& response) { OnPeerResponse(response); })),
      limit_exchange_(std::make_unique<LimitExchange>(
          loop,
          [this](const std::string& body) { OnSuspectsReply(body); })),
      server_(loop,
              {.purpose = "relay",
               .address = self.relay_address,
               .port = self.relay_port,
               .last_port = options.last_relay_port},
              [this](const std::shared_ptr<HttpExchange>& exchange) {
                HandleRequest(exchange);
              }),
      register_timer_(loop),
      hosts_timer_(loop),
      follow_timer_(loop),
      response_timer_(loop),
      tick_timer_(loop),
      suspects_timer_(loop),
      suspects_limiter_(kSuspectsInterval, kSuspectsBurst),
      incarnation_(RandomIncarnation()),
      hosts_settled_(!options.first_start) {
  pauses_->AddListener({.on_pause = [this] { OnPause(); },
                        .on_hold_ended = [this] { RespondWithUpdates(); }});
}

FleetAgent::~FleetAgent() = default;

void FleetAgent::Start() {
  started_at_ = EventLoop::Now();
  // Callers may already be waiting: registering and choosing a host to follow
  // take several round trips, the first reads take one.
  reader_->EnsureReading();
  if (server_.listening()) {
    RegisterRelay();
  } else {
    // The registration names the port at which other hosts follow this one.
    registering_ = true;
    server_.OnListening([this] { RegisterRelay(); });
    ReadHosts();
  }
  Tick();
}

void FleetAgent::RegisterRelay() {
  relay_order_.set_relay_port(server_.port());
  Register();
}

void FleetAgent::Register() {
  registering_ = true;
  source_.Register(
      relay_order_.self(), [this](absl::StatusOr<StoreVersion> version) {
        if (!version.ok()) {
          spdlog::warn("registration failed: {}", version.status().ToString());
          // The configuration may be readable even if registering fails.
          reader_->EnsureReading();
          start_failed_ = true;
          register_timer_.Start(kRetryDelay, [this] { Register(); });
          return;
        }
        registering_ = false;
        registered_ = true;
        relay_order_.set_registration_version(*version);
        spdlog::info("registered as {} at version {}", relay_order_.self().name,
                     version->number);
        ReadHosts();
      });
}

void FleetAgent::CancelRelayRequest() {
  response_timer_.Cancel();
  if (const auto call = std::exchange(relay_call_, nullptr)) {
    call->Cancel();
  }
}

void FleetAgent::OnPause() {
  if (!followed_host_.empty()) {
    // The followed host responds at once to a request that lacks something.
    followed_live_sequence_ = kNoSequence;
    follow_timer_.Cancel();
    Follow();
  }
  if (ShouldReadStore()) {
    reader_->ReadNow();
  }
}

// A response to a request from before a pause may have waited in the socket.
Instant FleetAgent::KnownAt(const RelayResponse& response) const {
  const bool paused_since = pauses_->ended_at() > relay_sent_at_;
  return (paused_since ? relay_sent_at_ : EventLoop::Now()) - response.age;
}

// A relay that was paused too, and does not know it, responds with what it knew
// before. Its list is older than those that it reads in time. A list that could
// not be applied follows with the next response.
bool FleetAgent::IsRefreshed(Instant response_known_at) const {
  const Instant known_at = servers_.known_at();
  if (relay_sent_at_ < pauses_->ended_at() || known_at < response_known_at) {
    return false;
  }
  return EventLoop::Now() - known_at <= timing_.read_interval + kReadSlack ||
         known_at >
             pauses_->began_at() + PauseMonitor::kTickInterval + kReadSlack;
}

bool FleetAgent::IsStale() const {
  const bool nothing_known = operator_sequence_ == 0 && start_failed_;
  const Instant known_at = std::max(servers_.known_at(), started_at_);
  return nothing_known || EventLoop::Now() - known_at > timing_.stale_after;
}

std::string FleetAgent::MakeQuery() const {
  return EncodeQuery({.list_age = EventLoop::Now() - servers_.known_at(),
                      .list_digest = changes_.digest(),
                      .operator_version = operator_state_.state().version,
                      .document_version = DocumentVersion()});
}

void FleetAgent::OnQuery(const std::shared_ptr<HttpExchange>& exchange) {
  const auto query = DecodeQuery(exchange->body());
  if (!query) {
    exchange->Respond(HttpResponse::Of(kStatusBadRequest));
    return;
  }
  if (operator_sequence_ == 0 || changes_.sequence() == 0) {
    exchange->Respond(HttpResponse::Of(kStatusUnavailable));
    return;
  }
  const Instant now = EventLoop::Now();
  RelayResponse response;
  response.incarnation = incarnation_;
  response.age = now - servers_.known_at();
  response.host_count = StatedHostCount();
  response.timeline = servers_.timeline();
  if (response.age + kMinAgeGain < query->list_age) {
    response.same_list = query->list_digest == changes_.digest();
    if (!response.same_list) {
      response.servers = changes_.Since(0);
    }
  }
  if (operator_state_.state().version > query->operator_version) {
    AddOperatorState(query->document_version, response);
  }
  exchange->Respond(HttpResponse::Of(kStatusOk, EncodeResponse(response, now)));
}

void FleetAgent::OnPeerResponse(const RelayResponse& response) {
  if (!hosts_known_ && KnowsHosts(response) &&
      response.host_count > host_count_) {
    // This host may not be registered yet.
    SetHostCount(response.host_count + (registered_ ? 0 : 1));
    spdlog::info("{} hosts are registered, by another host",
                 response.host_count);
  }
  ApplyOperatorState(response);
  const Instant known_at = EventLoop::Now() - response.age;
  if (response.same_list && servers_.Confirm(known_at)) {
    OnServersChanged();
  }
  if (response.servers &&
      servers_.Apply(*response.servers, response.timeline, known_at)) {
    OnServersChanged();
  }
}

// Hosts that don't know the number state 1: those of builds that count
// themselves as the only host divide by it.
int FleetAgent::StatedHostCount() const {
  return std::max(1, host_count_);
}

void FleetAgent::SetHostCount(int host_count) {
  host_count_ = host_count;
  listener_.on_host_count(host_count_);
}

void FleetAgent::SetSeeds(std::vector<HttpPeer> seeds) {
  seeds_ = std::move(seeds);
  SetPeers({});
}

void FleetAgent::SetPeers(const std::vector<HostRegistration>& hosts) {
  // A whole domain or region may have failed, so hosts of this domain, of this
  // region and of other regions are queried alternately.
  std::array<std::vector<HttpPeer>, 3> groups;
  const HostRegistration& self = relay_order_.self();
  for (const HostRegistration& host : hosts) {
    if (host.name != self.name) {
      const std::size_t group = host.domain == self.domain   ? 0
                                : host.region == self.region ? 1
                                                             : 2;
      groups[group].push_back({host.name, host.relay_address, host.relay_port});
    }
  }
  groups.back().insert(groups.back().end(), seeds_.begin(), seeds_.end());
  std::vector<HttpPeer> peers;
  for (std::size_t i = 0;; ++i) {
    const std::size_t before = peers.size();
    for (const auto& group : groups) {
      if (i < group.size()) {
        peers.push_back(group[i]);
      }
    }
    if (peers.size() == before) {
      break;
    }
  }
  peer_query_->SetPeers(std::move(peers));
}

void FleetAgent::ReadHosts() {
  source_.ReadHosts([this](absl::StatusOr<Listing<HostRegistration>> hosts) {
    if (hosts.ok()) {
      OnHostsRead(*hosts);
      return;
    }
    spdlog::warn("registrations not read: {}", hosts.status().ToString());
    reader_->EnsureReading();
    hosts_timer_.Start(kRetryDelay, [this] { ReadHosts(); });
  });
}

void FleetAgent::RefreshHosts() {
  // Before the first read a read is due anyway.
  if (hosts_known_) {
    ReadHosts();
  }
}

// Followers get the number of hosts only.
void FleetAgent::ReadHostsIfChanged(int host_count) {
  if (host_count == read_host_count_ ||
      !std::exchange(hosts_read_due_, false)) {
    return;
  }
  const Duration spread = kHostsReadSpacing * host_count;
  const double part =
      heathersteer::UnitHash(relay_order_.self().name, incarnation_);
  hosts_timer_.Start(Duration(static_cast<Duration::rep>(
                         static_cast<double>(spread.count()) * part)),
                     [this] { ReadHosts(); });
}

void FleetAgent::OnHostsRead(const Listing<HostRegistration>& hosts) {
  const bool first = !std::exchange(hosts_known_, true);
  const bool restored = !first && hosts.timeline > hosts_.timeline();
  const Instant now = EventLoop::Now();
  hosts_.Update(hosts, now);
  const std::vector<HostRegistration> known = hosts_.hosts();
  relay_order_.SetHosts(known);
  SetPeers(known);
  limit_exchange_->SetHosts(relay_order_.self(), known);
  const HostRegistration& self = relay_order_.self();
  const bool listed = std::any_of(
      known.begin(), known.end(),
      [&](const HostRegistration& host) { return host.name == self.name; });
  // This host counts although it may not be registered yet.
  const int count = static_cast<int>(known.size()) + (listed ? 0 : 1);
  if (std::exchange(read_host_count_, count) != count) {
    hosts_changed_at_ = now;
  }
  if (now - hosts_changed_at_ >= kSecondHostsReadDelay) {
    hosts_settled_ = true;
  }
  // Other hosts don't count this one before it is listed.
  listener_.on_hosts(known, hosts_settled_ && listed);
  // While others may still register, a part of what is shared would be too
  // large.
  SetHostCount(hosts_settled_ ? count : 0);
  spdlog::info("{} hosts are registered", count);
  if (!registering_ && hosts_.IsLost(self.name, self.registration_version)) {
    spdlog::warn("the store has lost the registration of {}", self.name);
    Register();
  }
  if (first) {
    Follow();
  }
  // Later on followers get the number of hosts from the one they follow.
  const bool again = first || !hosts_settled_;
  hosts_timer_.Start(
      again || restored ? kSecondHostsReadDelay : kHostsReadInterval,
      [this, again] {
        if (again || followed_host_.empty()) {
          ReadHosts();
        } else {
          hosts_read_due_ = true;
        }
      });
}

void FleetAgent::Follow() {
  const Instant now = EventLoop::Now();
  const auto host = relay_order_.Choose(now);
  const std::string name = host ? host->name : "";
  if (name != followed_host_) {
    spdlog::info("news come from {}", host ? name : "the store");
    followed_incarnation_.clear();
    // Whichever host is next in the order takes over with the hosts known so
    // far.
    for (const std::string& endpoint : std::exchange(followed_endpoints_, {})) {
      live_hosts_.RecordReport(
          endpoint, endpoint != relay_order_.self().caller_endpoint, now);
    }
  }
  followed_host_ = name;
  if (host) {
    SendRelayRequest(*host);
    return;
  }
  reader_->EnsureReading();
  if (std::exchange(hosts_read_due_, false)) {
    ReadHosts();
  }
  // A host that registered earlier may have recovered.
  follow_timer_.Start(timing_.long_poll_timeout, [this] { Follow(); });
}

void FleetAgent::SendRelayRequest(const HostRegistration& host) {
  CancelRelayRequest();
  ++relay_requests_;
  relay_sent_at_ = EventLoop::Now();
  const bool same = !followed_incarnation_.empty();
  const RelayRequest request{
      .name = relay_order_.self().name,
      .caller_endpoint = relay_order_.self().caller_endpoint,
      .registration_version = relay_order_.self().registration_version,
      .ready = ready_ && !leaving_,
      .incarnation = followed_incarnation_,
      .servers_sequence = same ? followed_servers_sequence_ : 0,
      .operator_sequence = same ? followed_operator_sequence_ : 0,
      .document_version = DocumentVersion(),
      .live_sequence = same ? followed_live_sequence_ : 0,
      .suspects_sequence = same ? followed_suspects_sequence_ : 0,
      .limits = CollectDomainLimits(),
      .suspects = listener_.crash_suspects().Recent(EventLoop::Now())};
  const std::string body = EncodeRequest(request, EventLoop::Now());
  relay_call_ = client_.Send({host.name, host.relay_address, host.relay_port},
                             PostHead(kRelayPath, host.name, body.size()), body,
                             "", [this, host](const CallResult& result) {
                               response_timer_.Cancel();
                               relay_call_ = nullptr;
                               OnRelayResponse(host, result);
                             });
  response_timer_.Start(
      relay_call_, timing_.long_poll_timeout + kResponseSlack, [this, host] {
        pauses_->Check();
        if (pauses_->ended_at() > relay_sent_at_) {
          // OnPause() sends the request again.
          return;
        }
        const std::uint64_t received = relay_call_->received_bytes();
        CancelRelayRequest();
        OnFollowFailed(host, "no answer in time, bytes received: " +
                                 std::to_string(received));
      });
}

void FleetAgent::OnRelayResponse(const HostRegistration& host,
                                 const CallResult& result) {
  if (result.outcome != CallOutcome::kAnswered) {
    OnFollowFailed(host, result.error);
    return;
  }
  const auto response = DecodeResponse(result.body, EventLoop::Now());
  if (result.head.status == kStatusConflict && response) {
    // It registered after this host, so this host precedes it.
    relay_order_.UpdateRegistration(host.name, response->registration_version);
    Follow();
    return;
  }
  if (result.head.status != kStatusOk || !response) {
    OnFollowFailed(host, "status " + std::to_string(result.head.status));
    return;
  }
  ApplyResponse(*response);
  Follow();
}

void FleetAgent::OnFollowFailed(const HostRegistration& host,
                                const std::string& problem) {
  spdlog::warn("no news from {}: {}", host.name, problem);
  relay_order_.MarkFailed(host.name, EventLoop::Now());
  std::erase(followed_endpoints_, host.caller_endpoint);
  follow_timer_.Start(kFollowRetryDelay, [this] { Follow(); });
}

void FleetAgent::ApplyServers(const RelayResponse& response, Instant known_at) {
  const bool newer = response.timeline >= servers_.timeline() &&
                     known_at >= servers_.known_at();
  if (response.servers) {
    followed_servers_sequence_ = response.servers_sequence;
    const bool usable = response.servers->full || !list_diverged_;
    if (usable &&
        servers_.Apply(*response.servers, response.timeline, known_at)) {
      OnServersChanged();
      list_diverged_ = false;
      return;
    }
    list_diverged_ = true;
  } else if (!list_diverged_) {
    if (servers_.Confirm(known_at)) {
      OnServersChanged();
      list_diverged_ = false;
    }
    return;
  }
  if (newer) {
    followed_servers_sequence_ = 0;
  }
}

void FleetAgent::ApplyResponse(const RelayResponse& response) {
  pauses_->Check();
  OnTimeline(response.timeline);
  const Instant known_at = KnownAt(response);
  followed_incarnation_ = response.incarnation;
  followed_operator_sequence_ = response.operator_sequence;
  followed_live_sequence_ = response.live_sequence;
  followed_suspects_sequence_ = response.suspects_sequence;
  needs_suspects_ = false;
  if (listener_.crash_suspects().Merge(response.suspects, EventLoop::Now())) {
    LogQuarantined();
    ScheduleSuspects();
  }
  ApplyOperatorState(response);
  ApplyServers(response, known_at);
  LogIgnoredReports();
  if (response.caller_endpoints) {
    followed_endpoints_ = *response.caller_endpoints;
  }
  if (KnowsHosts(response)) {
    if (response.host_count != host_count_) {
      SetHostCount(response.host_count);
    }
    ReadHostsIfChanged(response.host_count);
  }
  if (response.limits) {
    ApplyLimits(*response.limits);
  }
  if (response.registration_lost && !registering_) {
    spdlog::warn("the store has lost the registration of {}",
                 relay_order_.self().name);
    Register();
  }
  if (ShouldReadStore()) {
    reader_->EnsureReading();
  }
  if (IsRefreshed(known_at)) {
    pauses_->OnStateRefreshed();
  }
}

bool FleetAgent::ShouldReadStore() const {
  return followed_host_.empty() || IsStale();
}

StoreReaderCallbacks FleetAgent::MakeReaderCallbacks() {
  return {
      .should_read = [this] { return ShouldReadStore(); },
      .is_domain_reader = [this] { return followed_host_.empty(); },
      .reregistration_time_left =
          [this] {
            return servers_.reregistration_time_left(EventLoop::Now());
          },
      .on_servers =
          [this](const Listing<BackendServer>& servers, Instant requested_at) {
            pauses_->Check();
            OnTimeline(servers.timeline);
            if (servers_.Update(servers, requested_at)) {
              OnServersChanged();
            }
            LogIgnoredReports();
            if (requested_at >= pauses_->ended_at()) {
              pauses_->OnStateRefreshed();
            }
            RespondToAllPending();
          },
      .on_operator_state =
          [this](const OperatorState& state) { OnOperatorState(state); },
      .on_servers_failed =
          [this](const absl::Status& status) {
            spdlog::warn(
                "backend servers not read, the list of {} ms ago stays: {}",
                heathersteer::Milliseconds(EventLoop::Now() -
                                           servers_.known_at()),
                status.ToString());
          }};
}

void FleetAgent::LogIgnoredReports() {
  const std::set<std::string>& ignored = servers_.ignored_reports();
  for (const std::string& id : ignored) {
    if (!logged_ignored_reports_.contains(id)) {
      spdlog::warn(
          "backend server {}: listed report ignored, as it is earlier than "
          "the known one or has no start time",
          id);
    }
  }
  logged_ignored_reports_ = ignored;
}

void FleetAgent::OnServersChanged() {
  changes_.Update(servers_.servers());
  list_diverged_ = true;
  RespondWithUpdates();
  listener_.on_servers(servers_.servers());
}

void FleetAgent::OnOperatorState(const OperatorState& state) {
  const StoreVersion known = operator_state_.state().version;
  if (operator_state_.Update(state, EventLoop::Now())) {
    ++operator_sequence_;
    documents_.Update(operator_state_.state().document,
                      operator_state_.state().document_version);
    source_.SkipTo(operator_state_.state());
    NotifyOperatorState();
    RespondWithUpdates();
  } else if (state.version < known) {
    spdlog::info(
        "operator's state at version {} of timeline {} ignored, version {} of "
        "timeline {} is known",
        state.version.number, state.version.timeline, known.number,
        known.timeline);
  }
  OnTimeline(state.version.timeline);
}

std::uint64_t FleetAgent::DocumentVersion() const {
  return document_diverged_ ? 0 : operator_state_.state().document_version;
}

void FleetAgent::AddOperatorState(std::uint64_t document_version,
                                  RelayResponse& response) {
  response.operator_state = operator_state_.state();
  const bool same =
      document_version == response.operator_state->document_version;
  if (const auto* delta = documents_.Since(document_version)) {
    response.document_delta = *delta;
  }
  if (same || response.document_delta) {
    response.operator_state->document.clear();
  }
}

void FleetAgent::ApplyOperatorState(const RelayResponse& response) {
  if (!response.operator_state) {
    return;
  }
  OperatorState received = *response.operator_state;
  const OperatorState& known = operator_state_.state();
  if (response.document_delta &&
      received.document_version > known.document_version) {
    const DocumentDelta& delta = *response.document_delta;
    // Another host may have sent a newer document since the request.
    const bool same_base = delta.base_version == known.document_version;
    auto document =
        same_base ? ApplyDocumentDelta(known.document, delta) : std::nullopt;
    if (!document) {
      spdlog::warn("delta from document {} to {} does not apply to document {}",
                   delta.base_version, received.document_version,
                   known.document_version);
      document_diverged_ = same_base;
      followed_operator_sequence_ = 0;
      return;
    }
    received.document = *std::move(document);
  }
  if (!received.document.empty()) {
    document_diverged_ = false;
  }
  OnOperatorState(received);
}

void FleetAgent::NotifyOperatorState() {
  listener_.on_operator_state(operator_state_.effective());
}

void FleetAgent::OnTimeline(std::uint64_t timeline) {
  if (timeline <= timeline_) {
    return;
  }
  const bool restored = std::exchange(timeline_, timeline) != 0;
  if (!restored || !hosts_known_) {
    return;
  }
  if (followed_host_.empty()) {
    ReadHosts();
  } else {
    // The followed host reports whether this host's registration is lost.
    hosts_read_due_ = true;
  }
}

void FleetAgent::HandleRequest(const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->head().target == PeerQuery::kPath) {
    OnQuery(exchange);
    return;
  }
  if (exchange->head().target == LimitExchange::kPath) {
    OnDomainReport(exchange);
    return;
  }
  pauses_->Check();
  const auto request = DecodeRequest(exchange->body(), EventLoop::Now());
  if (exchange->head().target != kRelayPath || !request) {
    exchange->Respond(HttpResponse::Of(kStatusBadRequest));
    return;
  }
  const bool informed = registered_ || operator_sequence_ != 0;
  if (leaving_ || !informed) {
    exchange->Respond(HttpResponse::Of(kStatusUnavailable));
    return;
  }
  const Instant now = EventLoop::Now();
  PendingRequest pending{exchange, *request, now + timing_.long_poll_timeout};
  if (!relay_order_.MayFollow(request->registration_version)) {
    RelayResponse response;
    response.registration_version = relay_order_.self().registration_version;
    exchange->Respond(
        HttpResponse::Of(kStatusConflict, EncodeResponse(response, now)));
    return;
  }
  if (request->limits) {
    host_limits_.Record(request->name, *request->limits, now);
  }
  MergeCrashSuspects(request->suspects, relay_order_.self().domain);
  if (live_hosts_.RecordReport(request->caller_endpoint, request->ready, now)) {
    ++live_sequence_;
    RespondWithUpdates();
  }
  // What this host knew before a pause is no update.
  if (HasUpdate(*request) && !pauses_->on_hold()) {
    SendResponse(pending);
    return;
  }
  pending_.push_back(std::move(pending));
}

bool FleetAgent::HasUpdate(const RelayRequest& request) const {
  if (operator_sequence_ == 0 || changes_.sequence() == 0) {
    return false;
  }
  return request.incarnation != incarnation_ ||
         request.servers_sequence != changes_.sequence() ||
         request.operator_sequence != operator_sequence_ ||
         request.live_sequence != live_sequence_ ||
         request.suspects_sequence < notified_suspects_;
}

void FleetAgent::RespondWithUpdates() {
  if (pauses_->on_hold()) {
    return;
  }
  for (auto pending = pending_.begin(); pending != pending_.end();) {
    if (HasUpdate(pending->request)) {
      SendResponse(*pending);
      pending = pending_.erase(pending);
    } else {
      ++pending;
    }
  }
}

void FleetAgent::RespondToAllPending() {
  if (operator_sequence_ == 0 || pauses_->on_hold()) {
    return;
  }
  for (PendingRequest& pending : pending_) {
    SendResponse(pending);
  }
  pending_.clear();
}

void FleetAgent::SendResponse(PendingRequest& pending) {
  const Instant now = EventLoop::Now();
  const RelayRequest& request = pending.request;
  const bool same = request.incarnation == incarnation_;
  RelayResponse response;
  response.incarnation = incarnation_;
  response.registration_version = relay_order_.self().registration_version;
  response.registration_lost =
      hosts_.IsLost(request.name, request.registration_version);
  response.timeline = servers_.timeline();
  response.age = now - servers_.known_at();
  response.host_count = StatedHostCount();
  response.servers_sequence = changes_.sequence();
  response.operator_sequence = operator_sequence_;
  response.live_sequence = live_sequence_;
  if (!same || request.servers_sequence != changes_.sequence()) {
    response.servers =
        changes_.Since(same ? request.servers_sequence : std::uint64_t{0});
  }
  if (!same || request.operator_sequence != operator_sequence_) {
    AddOperatorState(request.document_version, response);
  }
  if (!same || request.live_sequence != live_sequence_) {
    response.caller_endpoints = CallerEndpoints();
  }
  if (!all_limits_.reports.empty() && now - all_limits_at_ <= kMaxLimitsAge) {
    response.limits = all_limits_;
  }
  const heathersteer::CrashSuspectTable& suspects = listener_.crash_suspects();
  response.suspects_sequence = suspects.sequence();
  response.suspects = suspects.Since(same ? request.suspects_sequence : 0);
  pending.exchange->Respond(
      HttpResponse::Of(kStatusOk, EncodeResponse(response, now)));
}

heathersteer::LimitSummary FleetAgent::CollectDomainLimits() {
  const Instant now = EventLoop::Now();
  host_limits_.Record(relay_order_.self().name, listener_.report_limits(), now);
  return host_limits_.Sum(now);
}

void FleetAgent::OnDomainReport(const std::shared_ptr<HttpExchange>& exchange) {
  const Instant now = EventLoop::Now();
  auto report = DecodeDomainReport(exchange->body(), now);
  if (!report) {
    exchange->Respond(HttpResponse::Of(kStatusBadRequest));
    return;
  }
  MergeCrashSuspects(report->suspects, report->domain);
  if (!followed_host_.empty()) {
    exchange->Respond(HttpResponse::Of(kStatusConflict, followed_host_));
    return;
  }
  if (report->limits) {
    domain_limits_.Record(report->domain, *std::move(report->limits), now);
  }
  exchange->Respond(HttpResponse::Of(
      kStatusOk, report->needs_suspects
                     ? EncodeSuspects(listener_.crash_suspects().Since(0), now)
                     : ""));
}

void FleetAgent::OnSuspectsReply(const std::string& body) {
  const Instant now = EventLoop::Now();
  const auto suspects = DecodeSuspects(body, now);
  if (!suspects) {
    spdlog::warn("unreadable response to a report of limits: {} bytes",
                 body.size());
    return;
  }
  needs_suspects_ = false;
  if (listener_.crash_suspects().Merge(*suspects, now)) {
    ScheduleSuspects();
  }
}

void FleetAgent::ApplyLimits(heathersteer::LimitSummary limits) {
  all_limits_ = std::move(limits);
  all_limits_at_ = EventLoop::Now();
  listener_.on_limits(all_limits_);
}

void FleetAgent::ExchangeLimits() {
  const Instant now = EventLoop::Now();
  if (!followed_host_.empty() || now - limits_exchanged_at_ < kLimitsInterval) {
    return;
  }
  limits_exchanged_at_ = now;
  domain_limits_.Record(relay_order_.self().domain, CollectDomainLimits(), now);
  ApplyLimits(domain_limits_.Sum(now));
  const bool suspects = !listener_.crash_suspects().Recent(now).empty();
  const bool limits = !all_limits_.reports.empty();
  if (limits || suspects || (needs_suspects_ && hosts_known_)) {
    SendDomainReport(now);
  }
  if (limits) {
    RespondToAllPending();
  }
}

void FleetAgent::SendDomainReport(Instant now) {
  limit_exchange_->Send(
      EncodeDomainReport({.domain = relay_order_.self().domain,
                          .limits = CollectDomainLimits(),
                          .suspects = listener_.crash_suspects().Recent(now),
                          .needs_suspects = needs_suspects_},
                         now));
}

void FleetAgent::LogQuarantined() {
  const std::size_t count =
      listener_.crash_suspects().QuarantinedCount(EventLoop::Now());
  if (count != std::exchange(logged_quarantined_, count)) {
    spdlog::info("{} requests are quarantined, with those of other hosts",
                 count);
  }
}

void FleetAgent::ShareCrashSuspects() {
  suspects_report_due_ = true;
  ScheduleSuspects();
}

void FleetAgent::ScheduleSuspects() {
  if (!std::exchange(suspects_scheduled_, true)) {
    suspects_timer_.Start(
        std::max(kSuspectsDelay, suspects_limiter_.Reserve(EventLoop::Now())),
        [this] { SendCrashSuspects(); });
  }
}

void FleetAgent::SendCrashSuspects() {
  suspects_scheduled_ = false;
  notified_suspects_ = listener_.crash_suspects().sequence();
  RespondWithUpdates();
  if (std::exchange(suspects_report_due_, false)) {
    ReportCrashSuspects(EventLoop::Now());
  }
}

void FleetAgent::ReportCrashSuspects(Instant now) {
  if (followed_host_.empty()) {
    SendDomainReport(now);
  } else if (const auto relay = relay_order_.Choose(now)) {
    limit_exchange_->SendToRelay(
        {relay->name, relay->relay_address, relay->relay_port},
        EncodeDomainReport({.domain = relay_order_.self().domain,
                            .limits = std::nullopt,
                            .suspects = listener_.crash_suspects().Recent(now),
                            .needs_suspects = false},
                           now));
  }
}

void FleetAgent::MergeCrashSuspects(
    const std::vector<heathersteer::CrashSuspect>& suspects,
    const std::string& domain) {
  const Instant now = EventLoop::Now();
  heathersteer::CrashSuspectTable& table = listener_.crash_suspects();
  const bool from_follower = domain == relay_order_.self().domain;
  const bool changed = from_follower ? table.MergeFromFollower(suspects, now)
                                     : table.Merge(suspects, now);
  if (!changed) {
    return;
  }
  LogQuarantined();
  if (from_follower && followed_host_.empty()) {
    ShareCrashSuspects();
  } else {
    // The relay that sent them has sent them to all domains.
    ScheduleSuspects();
  }
}

void FleetAgent::Tick() {
  pauses_->Tick();
  const Instant now = EventLoop::Now();
  ExchangeLimits();
  if (operator_state_.Expire(now)) {
    NotifyOperatorState();
  }
  if (live_hosts_.Expire(now)) {
    ++live_sequence_;
    RespondWithUpdates();
  }
  for (auto pending = pending_.begin(); pending != pending_.end();) {
    if (now >= pending->deadline) {
      SendResponse(*pending);
      pending = pending_.erase(pending);
    } else {
      ++pending;
    }
  }
  if (hosts_known_ && ShouldReadStore()) {
    reader_->EnsureReading();
  }
  peer_query_->SetActive(IsStale() && !leaving_);
  tick_timer_.Start(PauseMonitor::kTickInterval, [this] { Tick(); });
}

void FleetAgent::set_ready(bool ready) {
  if (ready_ != ready) {
    ready_ = ready;
    ++live_sequence_;
    RespondWithUpdates();
    if (!followed_host_.empty() && relay_call_ != nullptr) {
      // Notifies the followed host at once.
      CancelRelayRequest();
      Follow();
    }
  }
}

void FleetAgent::StartLeaving() {
  leaving_ = true;
  for (PendingRequest& pending : pending_) {
    pending.exchange->Respond(HttpResponse::Of(kStatusUnavailable));
  }
  pending_.clear();
  if (!followed_host_.empty()) {
    // Notifies the followed host at once that this one isn't ready.
    CancelRelayRequest();
    Follow();
  }
}

std::vector<std::string> FleetAgent::CallerEndpoints() const {
  std::vector<std::string> endpoints;
  if (ready_ && !leaving_) {
    endpoints.push_back(relay_order_.self().caller_endpoint);
  }
  const auto add = [&](const std::vector<std::string>& others) {
    for (const std::string& endpoint : others) {
      const bool known = std::find(endpoints.begin(), endpoints.end(),
                                   endpoint) != endpoints.end();
      if (!known && endpoint != relay_order_.self().caller_endpoint) {
        endpoints.push_back(endpoint);
      }
    }
  };
  add(live_hosts_.CallerEndpoints());
  add(followed_endpoints_);
  return endpoints;
}

}  // namespace heathergate
