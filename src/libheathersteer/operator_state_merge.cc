#include "heathersteer/operator_state_merge.h"

#include <algorithm>
#include <chrono>

namespace heathersteer {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;

// Time in which the operator repeats what the store has lost.
constexpr Duration kRewriteTime = std::chrono::seconds(10);

}  // namespace

bool OperatorStateMerge::Update(const OperatorState& received, Instant now) {
  bool changed = false;
  // The operator's versions never decrease, unlike those of the store.
  if (received.document_version > state_.document_version) {
    state_.document = received.document;
    state_.document_version = received.document_version;
    changed = true;
  }
  if (received.version <= state_.version) {
    return changed;
  }
  const bool new_timeline = received.version.timeline > state_.version.timeline;
  if (new_timeline && state_.version.timeline != 0) {
    lost_evacuations_.insert(state_.evacuated.begin(), state_.evacuated.end());
    lost_until_ = now + kRewriteTime;
  }
  std::erase_if(lost_evacuations_, [&](const std::string& domain) {
    return received.evacuated.contains(domain);
  });
  changed |= new_timeline || received.evacuated != state_.evacuated;
  state_.evacuated = received.evacuated;
  state_.version = received.version;
  return changed;
}

bool OperatorStateMerge::Expire(Instant now) {
  if (lost_evacuations_.empty() || now < lost_until_) {
    return false;
  }
  lost_evacuations_.clear();
  return true;
}

OperatorState OperatorStateMerge::effective() const {
  OperatorState effective = state_;
  effective.evacuated.insert(lost_evacuations_.begin(),
                             lost_evacuations_.end());
  return effective;
}

}  // namespace heathersteer
