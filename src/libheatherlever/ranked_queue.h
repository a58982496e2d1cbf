#ifndef HEATHERLEVER_RANKED_QUEUE_H_
#define HEATHERLEVER_RANKED_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/pool_request.h"
#include "heatherlever/rank.h"
#include "kind_queue.h"

namespace heatherlever {

/// The queued work of a pool, by kind, and the order in which kinds are served:
/// those below their floor first, then by rank; kinds of one rank take turns.
class RankedQueue {
 public:
  /// The queue of the request's kind, created if it is new. Its rank, floor and
  /// idempotence are set to those of the request.
  KindQueue& Kind(const PoolRequest& request);

  const std::vector<std::unique_ptr<KindQueue>>& kinds() const {
    return kinds_;
  }

  /// Number of queued jobs.
  std::size_t size() const;
  std::array<std::size_t, kRankCount> SizeByRank() const;

  /// Credits every kind with its floor of `usable_slots` up to now.
  void Accrue(int usable_slots, Instant now);

  /// The kinds that have work to dispatch, in serving order. The result is
  /// valid until the next call.
  const std::vector<KindQueue*>& ServingOrder(Instant now);

  /// Records that one request of the kind was dispatched.
  void OnServed(KindQueue& kind) { kind.OnServed(++turn_); }

  /// A kind's floor as a share of the pool. Floors that sum to more than 1
  /// are scaled down.
  double FloorShare(const KindQueue& kind) const;

 private:
  std::vector<std::unique_ptr<KindQueue>> kinds_;
  std::unordered_map<std::string, KindQueue*> by_name_;
  std::vector<KindQueue*> order_;
  double floor_sum_ = 0;
  std::uint64_t turn_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_RANKED_QUEUE_H_
