#ifndef HEATHERSTEER_OPERATOR_STATE_MERGE_H_
#define HEATHERSTEER_OPERATOR_STATE_MERGE_H_

#include <set>
#include <string>

#include "heatherlever/instant.h"
#include "heathersteer/operator_state.h"

namespace heathersteer {

/// Merges the operator's states that a host receives from the store and from
/// other hosts. What the operator had written and the store lost by a restore
/// from an older copy stays in force until it is written again.
class OperatorStateMerge {
 public:
  /// Takes over what is newer in `received`. Returns whether the state changed
  /// for this host or for hosts that follow it.
  bool Update(const OperatorState& received, heatherlever::Instant now);

  /// Ends evacuations that the store lost and that were not written again in
  /// time. Returns whether there were any.
  bool Expire(heatherlever::Instant now);

  /// The newest state of the store, with the newest configuration.
  const OperatorState& state() const { return state_; }

  /// The state to act on: with the evacuations that the store has lost.
  OperatorState effective() const;

 private:
  OperatorState state_;
  std::set<std::string> lost_evacuations_;
  heatherlever::Instant lost_until_{0};
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_OPERATOR_STATE_MERGE_H_
