#include "ranked_queue.h"

#include <algorithm>
#include <tuple>

namespace heatherlever {
namespace {

// Lower values are served first.
std::tuple<bool, Rank, std::uint64_t> ServingKey(const KindQueue& kind) {
  return {!kind.floor.has_credit(), kind.rank, kind.last_turn()};
}

}  // namespace

KindQueue& RankedQueue::Kind(const PoolRequest& request) {
  const auto [found, added] = by_name_.try_emplace(request.kind, nullptr);
  if (added) {
    kinds_.push_back(
        std::make_unique<KindQueue>(request.kind, request.service_time));
    found->second = kinds_.back().get();
  }
  KindQueue& kind = *found->second;
  kind.rank = request.rank;
  kind.idempotent = request.idempotent;
  floor_sum_ += request.floor_share - kind.floor_share;
  kind.floor_share = request.floor_share;
  return kind;
}

std::size_t RankedQueue::size() const {
  std::size_t sum = 0;
  for (const auto& kind : kinds_) {
    sum += kind->size();
  }
  return sum;
}

std::array<std::size_t, kRankCount> RankedQueue::SizeByRank() const {
  std::array<std::size_t, kRankCount> sizes{};
  for (const auto& kind : kinds_) {
    sizes.at(static_cast<std::size_t>(kind->rank)) += kind->size();
  }
  return sizes;
}

void RankedQueue::Accrue(int usable_slots, Instant now) {
  for (const auto& kind : kinds_) {
    kind->floor.Accrue(FloorShare(*kind) * usable_slots, kind->service_time(),
                       now);
  }
}

const std::vector<KindQueue*>& RankedQueue::ServingOrder(Instant now) {
  order_.clear();
  for (const auto& kind : kinds_) {
    kind->UpdateBacklog(now);
    if (kind->has_dispatchable()) {
      order_.push_back(kind.get());
    }
  }
  std::sort(order_.begin(), order_.end(),
            [](const KindQueue* left, const KindQueue* right) {
              return ServingKey(*left) < ServingKey(*right);
            });
  return order_;
}

double RankedQueue::FloorShare(const KindQueue& kind) const {
  return kind.floor_share / std::max(1.0, floor_sum_);
}

}  // namespace heatherlever
