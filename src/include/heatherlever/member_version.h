#ifndef HEATHERLEVER_MEMBER_VERSION_H_
#define HEATHERLEVER_MEMBER_VERSION_H_

#include <cstdint>
#include <tuple>

#include "heatherlever/member_state.h"

namespace heatherlever {

/// Orders what is said of one host: the higher version wins everywhere, so
/// that all tables come to agree whatever the order of arrival.
struct MemberVersion {
  /// Start of the process; a restarted host has a higher one. 0 for a host
  /// that is listed by the platform and was never heard of.
  std::uint64_t incarnation = 0;
  /// Counted up by the host itself to refute a suspicion.
  std::uint32_t refutation = 0;
  MemberState state = MemberState::kSuspect;

  bool operator==(const MemberVersion& other) const {
    return Order() == other.Order();
  }
  bool operator<(const MemberVersion& other) const {
    return Order() < other.Order();
  }

 private:
  // Leaving cannot be refuted; dead overrides suspect, and suspect alive.
  std::tuple<std::uint64_t, bool, std::uint32_t, MemberState> Order() const {
    return {incarnation, state == MemberState::kLeaving, refutation, state};
  }
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBER_VERSION_H_
