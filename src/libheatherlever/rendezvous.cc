#include "heatherlever/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace heatherlever {
namespace {

struct WeightedMember {
  std::uint64_t weight;
  const Member* member;
};

// Puts the deputy second: the first member of another failure domain than the
// owner's. The others keep their order.
void PlaceDeputy(std::vector<WeightedMember>* order) {
  const auto deputy = std::find_if(
      order->begin(), order->end(), [&](const WeightedMember& candidate) {
        const Member& owner = *order->front().member;
        return std::tie(candidate.member->region, candidate.member->domain) !=
               std::tie(owner.region, owner.domain);
      });
  if (deputy != order->end()) {
    std::rotate(order->begin() + 1, deputy, deputy + 1);
  }
}

}  // namespace

std::uint64_t RendezvousWeight(std::string_view pool, std::string_view member) {
  const XXH64_hash_t seed = XXH3_64bits(pool.data(), pool.size());
  return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

std::vector<Member> OwnerOrder(std::string_view pool,
                               const std::vector<Member>& members) {
  std::vector<WeightedMember> order;
  order.reserve(members.size());
  for (const Member& member : members) {
    order.push_back({RendezvousWeight(pool, member.name), &member});
  }
  std::sort(order.begin(), order.end(),
            [](const WeightedMember& a, const WeightedMember& b) {
              return a.weight != b.weight ? a.weight > b.weight
                                          : a.member->name < b.member->name;
            });
  if (!order.empty()) {
    PlaceDeputy(&order);
  }
  std::vector<Member> result;
  result.reserve(order.size());
  for (const WeightedMember& entry : order) {
    result.push_back(*entry.member);
  }
  return result;
}

std::size_t ShardCount(int slots, int max_slots_per_owner) {
  const int limit = std::max(1, max_slots_per_owner);
  return static_cast<std::size_t>(std::max(1, (slots + limit - 1) / limit));
}

std::string ShardName(std::string_view pool,
                      std::size_t shard,
                      std::size_t shard_count) {
  std::string name(pool);
  return shard_count <= 1 ? name : name + "#" + std::to_string(shard);
}

// Dealt out in the order of their weights, so that the backend servers of one
// failure domain, which often have neighbouring names, spread over the shards.
std::vector<std::vector<std::string>> SplitPool(
    std::string_view pool,
    const std::vector<std::string>& backends,
    std::size_t shard_count) {
  std::vector<std::pair<std::uint64_t, std::string>> order;
  order.reserve(backends.size());
  for (const std::string& backend : backends) {
    order.emplace_back(RendezvousWeight(pool, backend), backend);
  }
  std::sort(order.begin(), order.end());
  std::vector<std::vector<std::string>> shards(
      std::max<std::size_t>(1, shard_count));
  for (std::size_t i = 0; i < order.size(); ++i) {
    shards[i % shards.size()].push_back(order[i].second);
  }
  return shards;
}

}  // namespace heatherlever
