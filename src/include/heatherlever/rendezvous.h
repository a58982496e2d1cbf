#ifndef HEATHERLEVER_RENDEZVOUS_H_
#define HEATHERLEVER_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlever/member.h"

namespace heatherlever {

/// Weight of a member for a pool; the highest weight owns the pool. It depends
/// on both names only, so a restarted host gets its pools back.
std::uint64_t RendezvousWeight(std::string_view pool, std::string_view member);

/// The members in the order in which they serve a pool: first the owner
/// (highest weight), then the deputy (highest weight in another failure
/// domain; in the owner's domain if there is no other), then the others by
/// falling weight. Equal weights are ordered by name. Members of every region
/// are ordered: pass those of the pool's region only.
std::vector<Member> OwnerOrder(std::string_view pool,
                               const std::vector<Member>& members);

/// Number of owners that a pool of `slots` slots needs so that none keeps more
/// than `max_slots_per_owner`; at least 1.
std::size_t ShardCount(int slots, int max_slots_per_owner);

/// Name of one shard of a pool, for OwnerOrder. The only shard of an unsplit
/// pool has the pool's own name.
std::string ShardName(std::string_view pool,
                      std::size_t shard,
                      std::size_t shard_count);

/// Divides a pool's backend servers among `shard_count` shards, whose sizes
/// differ by 1 at most. The order of `backends` does not matter.
std::vector<std::vector<std::string>> SplitPool(
    std::string_view pool,
    const std::vector<std::string>& backends,
    std::size_t shard_count);

}  // namespace heatherlever

#endif  // HEATHERLEVER_RENDEZVOUS_H_
