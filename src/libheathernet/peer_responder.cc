#include "heathernet/peer_responder.h"

#include <asio/post.hpp>
#include <utility>

#include "peer_responder_state.h"
#include "peer_server_connection.h"

namespace heathernet {
namespace {

constexpr int kStatusNoAnswer = 500;

}  // namespace

PeerResponder::PeerResponder(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

bool PeerResponder::Respond(PeerResponse response) const {
  return state_->Answer(std::move(response));
}

bool PeerResponder::cancelled() const {
  return state_->cancelled;
}

void PeerResponder::OnCancel(std::function<void()> function) const {
  if (state_->cancelled) {
    function();
    return;
  }
  state_->on_cancel = std::move(function);
}

PeerResponder::State::~State() {
  PeerResponse response;
  response.status = kStatusNoAnswer;
  Answer(std::move(response));
}

bool PeerResponder::State::Answer(PeerResponse response) {
  if (answered.exchange(true)) {
    return false;
  }
  if (cancelled) {
    return true;
  }
  if (const auto impl = loop.lock()) {
    asio::post(impl->context, [weak = connection, id = stream,
                               ready = std::move(response)]() mutable {
      if (const auto owner = weak.lock()) {
        owner->Answer(id, std::move(ready));
      }
    });
  }
  return true;
}

void PeerResponder::State::Cancel() {
  cancelled = true;
  if (const auto function = std::exchange(on_cancel, nullptr)) {
    function();
  }
}

}  // namespace heathernet
