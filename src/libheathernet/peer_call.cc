#include "heathernet/peer_call.h"

#include <utility>

#include "peer_call_state.h"
#include "peer_client_connection.h"
#include "peer_context.h"

namespace heathernet {
namespace {

std::uint64_t& OutcomeCounter(PeerStats& stats, PeerOutcome outcome) {
  switch (outcome) {
    case PeerOutcome::kAnswered:
      return stats.calls_answered;
    case PeerOutcome::kNotSent:
      return stats.calls_not_sent;
    case PeerOutcome::kUnknown:
      break;
  }
  return stats.calls_unknown;
}

}  // namespace

PeerCall::PeerCall(std::weak_ptr<State> state) : state_(std::move(state)) {}

void PeerCall::Cancel() {
  if (const auto state = state_.lock()) {
    state->Abort("cancelled");
  }
}

void PeerCall::State::Finish(PeerResult result) {
  if (!callback) {
    return;
  }
  deadline.Cancel();
  if (!context->open) {
    callback = nullptr;
    return;
  }
  ++OutcomeCounter(context->stats, result.outcome);
  context->loop.Post([shared = context,
                      function = std::exchange(callback, nullptr),
                      ended = std::move(result)]() mutable {
    if (shared->open) {
      function(std::move(ended));
    }
  });
}

void PeerCall::State::Finish(PeerOutcome outcome, std::string detail) {
  PeerResult result;
  result.outcome = outcome;
  result.detail = std::move(detail);
  Finish(std::move(result));
}

void PeerCall::State::Abort(const std::string& detail) {
  if (const auto owner = connection.lock()) {
    owner->AbortStream(stream, detail);
  }
}

}  // namespace heathernet
