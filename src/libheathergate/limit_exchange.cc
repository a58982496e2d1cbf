#include "libheathergate/limit_exchange.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "heathergate/http_status.h"
#include "heathernet/event_loop.h"
#include "heathersteer/host_registration.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heathernet::EventLoop;
using heathersteer::HostRegistration;

// Hosts respond at once, and the latency between regions is some tens of
// milliseconds.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(400);

HttpClientOptions ClientOptions() {
  HttpClientOptions options;
  options.connect_timeout = std::chrono::milliseconds(250);
  options.ack_timeout = kResponseTimeout;
  return options;
}

}  // namespace

LimitExchange::LimitExchange(EventLoop& loop, OnReply on_reply)
    : client_(loop, ClientOptions()), on_reply_(std::move(on_reply)) {}

LimitExchange::~LimitExchange() {
  for (auto& [name, domain] : domains_) {
    if (const auto call = std::exchange(domain.call, nullptr)) {
      call->Cancel();
    }
  }
  if (const auto call = std::exchange(relay_.call, nullptr)) {
    call->Cancel();
  }
}

void LimitExchange::SetHosts(const HostRegistration& self,
                             std::vector<HostRegistration> hosts) {
  std::sort(hosts.begin(), hosts.end(),
            [](const HostRegistration& a, const HostRegistration& b) {
              return std::tie(a.registration_version, a.name) <
                     std::tie(b.registration_version, b.name);
            });
  for (auto& [name, domain] : domains_) {
    domain.hosts.clear();
  }
  for (const HostRegistration& host : hosts) {
    if (host.domain != self.domain) {
      domains_[host.domain].hosts.push_back(
          {host.name, host.relay_address, host.relay_port});
    }
  }
}

void LimitExchange::Send(const std::string& body) {
  for (auto& [name, domain] : domains_) {
    SendBody(domain, body);
  }
}

void LimitExchange::SendToRelay(const HttpPeer& relay,
                                const std::string& body) {
  const bool same =
      !relay_.hosts.empty() && relay_.hosts.front().name == relay.name;
  if (!same) {
    if (const auto call = std::exchange(relay_.call, nullptr)) {
      call->Cancel();
    }
  }
  relay_.hosts = {relay};
  SendBody(relay_, body);
}

void LimitExchange::SendBody(Destination& destination,
                             const std::string& body) {
  if (destination.call != nullptr) {
    if (EventLoop::Now() - destination.sent_at < kResponseTimeout) {
      destination.next_body = body;
      return;
    }
    std::exchange(destination.call, nullptr)->Cancel();
    ++destination.current;
  }
  destination.body = body;
  destination.next_body.clear();
  destination.redirected = false;
  StartCall(destination);
}

void LimitExchange::StartCall(Destination& destination) {
  if (destination.hosts.empty()) {
    return;
  }
  destination.current %= destination.hosts.size();
  destination.sent_at = EventLoop::Now();
  const HttpPeer& peer = destination.hosts[destination.current];
  // Destinations live as long as this object, which cancels their calls.
  destination.call = client_.Send(
      peer, PostHead(kPath, peer.name, destination.body.size()),
      destination.body, "", [this, &destination](const CallResult& result) {
        OnDone(destination, result);
      });
}

void LimitExchange::OnDone(Destination& destination, const CallResult& result) {
  destination.call = nullptr;
  const bool taken = result.outcome == CallOutcome::kAnswered &&
                     result.head.status == kStatusOk;
  if (taken && !result.body.empty()) {
    on_reply_(result.body);
  }
  if (!taken) {
    ++destination.current;
    if (FollowRedirect(destination, result)) {
      StartCall(destination);
      return;
    }
  }
  if (!destination.next_body.empty()) {
    SendBody(destination, std::string(destination.next_body));
  }
}

// A host that is not the relay of its domain names the one that is.
bool LimitExchange::FollowRedirect(Destination& destination,
                                   const CallResult& result) {
  if (result.outcome != CallOutcome::kAnswered ||
      result.head.status != kStatusConflict) {
    return false;
  }
  const auto relay = std::find_if(
      destination.hosts.begin(), destination.hosts.end(),
      [&](const HttpPeer& host) { return host.name == result.body; });
  if (relay == destination.hosts.end()) {
    return false;
  }
  destination.current =
      static_cast<std::size_t>(relay - destination.hosts.begin());
  return !std::exchange(destination.redirected, true);
}

}  // namespace heathergate
