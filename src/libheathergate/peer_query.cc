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

// Pause between two questions.
constexpr Duration kQueryInterval = std::chrono::milliseconds(200);
// Longest time for an answer; peers answer at once, and regions are some tens
// of milliseconds apart.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(400);

HttpClientOptions ClientOptions() {
  HttpClientOptions options;
  options.connect_timeout = std::chrono::milliseconds(250);
  options.ack_timeout = kResponseTimeout;
  return options;
}

}  // namespace

PeerQuery::PeerQuery(EventLoop& loop, MakeBody question, OnResponse news)
    : make_body_(std::move(question)),
      on_response_(std::move(news)),
      client_(loop, ClientOptions()),
      timer_(loop) {}

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
  timer_.Start(kResponseTimeout, [this] {
    if (const auto call = std::exchange(call_, nullptr)) {
      call->Cancel();
    }
    ScheduleQuery();
  });
  call_ = client_.Send(peer, PostHead(kPath, peer.name, body.size()), body, "",
                       [this, name = peer.name](const CallResult& result) {
                         call_ = nullptr;
                         OnDone(name, result);
                       });
}

void PeerQuery::OnDone(const std::string& peer, const CallResult& result) {
  ScheduleQuery();
  if (result.outcome != CallOutcome::kAnswered ||
      result.head.status != kStatusOk) {
    return;
  }
  const auto answer = DecodeResponse(result.body, EventLoop::Now());
  if (!answer) {
    spdlog::warn("news of {} are unreadable", peer);
    return;
  }
  if (answer->servers || answer->operator_state) {
    spdlog::info("{} gave newer news, {} ms old", peer,
                 heathersteer::Milliseconds(answer->age));
  }
  on_response_(*answer);
}

void PeerQuery::ScheduleQuery() {
  timer_.Start(kQueryInterval, [this] { SendQuery(); });
}

}  // namespace heathergate
