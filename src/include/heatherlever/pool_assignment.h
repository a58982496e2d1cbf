#ifndef HEATHERLEVER_POOL_ASSIGNMENT_H_
#define HEATHERLEVER_POOL_ASSIGNMENT_H_

#include <cstdint>
#include <string>
#include <vector>
#include "heatherlever/host_id.h"

namespace heatherlever {

/// The replicas of one pool's job ledger during one term.
struct PoolTerm {
  /// Number of the epoch in which these replicas were first assigned; 0 means
  /// that there is none.
  std::uint64_t number = 0;
  /// Home, buddy and (where the region has a third host) witness, in this
  /// order, each on another host and the first two in different failure
  /// domains.
  std::vector<HostId> members;

  bool operator==(const PoolTerm&) const = default;
};

/// The hosts that store the jobs of one pool. The term changes only when a
/// member does: an epoch with the same members keeps the term.
struct PoolAssignment {
  std::string pool;
  PoolTerm term;
  /// The term before it; number 0 for a pool that never had one.
  PoolTerm previous;

  bool operator==(const PoolAssignment&) const = default;
};

/// Whether the members whose bits are set in `mask` are a quorum of `count`
/// members: a majority of three or more; for two members, any set with the
/// buddy. Any two quorums share a member.
bool IsQuorum(std::size_t count, std::uint32_t mask);

/// The bit of a host in masks of the term's members; 0 if it is not a member.
std::uint32_t MemberBit(const PoolTerm& term, const HostId& host);

}  // namespace heatherlever

#endif  // HEATHERLEVER_POOL_ASSIGNMENT_H_
