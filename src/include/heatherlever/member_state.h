#ifndef HEATHERLEVER_MEMBER_STATE_H_
#define HEATHERLEVER_MEMBER_STATE_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace heatherlever {

/// What is known of an entry host. A hint only: the membership epoch decides
/// who may act.
enum class MemberState {
  kAlive,
  /// Neither a host that probes it nor any helper has heard of it in time.
  kSuspect,
  /// Suspected for longer than MembershipOptions::dead_after.
  kDead,
  /// Announced that it is about to stop. Final for its incarnation.
  kLeaving,
};

/// Number of states.
inline constexpr std::size_t kMemberStateCount = 4;

/// Names of the states, indexed by MemberState.
inline constexpr std::array<std::string_view, kMemberStateCount>
    kMemberStateNames = {"alive", "suspect", "dead", "leaving"};

/// Name of a state.
constexpr std::string_view MemberStateName(MemberState state) {
  return kMemberStateNames[static_cast<std::size_t>(state)];
}

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBER_STATE_H_
