#include "libheathergate/peer_query.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "heathergate/http_status.h"
#include "heathernet/event_loop.h"
#include "heathersteer/milliseconds.h"
#include "libheathergate/relay_codec.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heathernet::EventLoop;

// Interval between two queries.
constexpr Duration kQueryInterval = std::chrono::milliseconds(200);
// Peers respond at once, and the latency between regions is some tens of
// milliseconds.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(400);

HttpClientOptions ClientOptions() {
  HttpClientOptions options;
  options.connect_timeout = std::chrono::milliseconds(250);
  options.ack_timeout = kResponseTimeout;
  return options;
}

}  // namespace

PeerQuery::PeerQuery(EventLoop& loop,
                     MakeBody make_body,
                     OnResponse on_response)
    : make_body_(std::move(make_body)),
      on_response_(std::move(on_response)),
      client_(loop, ClientOptions()),
      timer_(loop),
      response_timer_(loop) {}

PeerQuery::~PeerQuery() {
  SetActive(false);
}

void PeerQuery::SetPeers(std::vector<HttpPeer> peers) {
  peers_ = std::move(peers);
}

void PeerQuery::SetActive(bool active) {
  if (active == active_) {
    return;
  }
  active_ = active;
  if (active_) {
    SendQuery();
    return;
  }
  timer_.Cancel();
  response_timer_.Cancel();
  if (const auto call = std::exchange(call_, nullptr)) {
    call->Cancel();
  }
}

void PeerQuery::SendQuery() {
  if (peers_.empty()) {
    ScheduleQuery();
    return;
  }
  const HttpPeer& peer = peers_[next_++ % peers_.size()];
  const std::string body = make_body_();
  sent_at_ = EventLoop::Now();
  call_ = client_.Send(peer, PostHead(kPath, peer.name, body.size()), body, "",
                       [this, name = peer.name](const CallResult& result) {
                         call_ = nullptr;
                         OnDone(name, result);
                       });
  response_timer_.Start(call_, kResponseTimeout, [this] {
    std::exchange(call_, nullptr)->Cancel();
    ScheduleQuery();
  });
}

void PeerQuery::OnDone(const std::string& peer, const CallResult& result) {
  response_timer_.Cancel();
  ScheduleQuery();
  if (result.outcome != CallOutcome::kAnswered ||
      result.head.status != kStatusOk) {
    return;
  }
  auto response = DecodeResponse(result.body, EventLoop::Now());
  if (!response) {
    spdlog::warn("unreadable response from {} to a query for updates", peer);
    return;
  }
  // It may have waited in the socket while the event loop was paused.
  response->age += EventLoop::Now() - sent_at_;
  if (response->servers || response->operator_state) {
    spdlog::info("newer state received from {}, {} ms old", peer,
                 heathersteer::Milliseconds(response->age));
  }
  on_response_(*response);
}

void PeerQuery::ScheduleQuery() {
  timer_.Start(kQueryInterval, [this] { SendQuery(); });
}

}  // namespace heathergate
