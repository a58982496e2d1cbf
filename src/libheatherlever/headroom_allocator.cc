#include "heatherlever/headroom_allocator.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>
#include <vector>

namespace heatherlever {
namespace {

// A sender without unmet demand still gets a part, since otherwise it couldn't
// show any demand.
int WeightOf(const SenderUse& use) {
  return 1 + std::max(0, use.unmet_demand);
}

// Divides `spare` in proportion to the weights. The remainder of rounding down
// goes to the senders that lost most by rounding.
std::map<std::string, int> Parts(
    int spare,
    const std::map<std::string, SenderUse>& senders) {
  std::int64_t weights = 0;
  for (const auto& [sender, use] : senders) {
    weights += WeightOf(use);
  }
  std::map<std::string, int> parts;
  std::vector<std::pair<std::int64_t, std::string>> remainders;
  int undistributed = spare;
  for (const auto& [sender, use] : senders) {
    const std::int64_t product = std::int64_t{spare} * WeightOf(use);
    parts[sender] = static_cast<int>(product / weights);
    remainders.emplace_back(-(product % weights), sender);
    undistributed -= parts[sender];
  }
  std::sort(remainders.begin(), remainders.end());
  for (std::size_t i = 0; static_cast<int>(i) < undistributed; ++i) {
    ++parts[remainders[i].second];
  }
  return parts;
}

}  // namespace

HeadroomAllocator::HeadroomAllocator(Duration limit_lifetime)
    : limit_lifetime_(limit_lifetime) {}

std::map<std::string, int> HeadroomAllocator::Divide(
    int spare,
    const std::map<std::string, SenderUse>& senders,
    Instant now) {
  RemoveExpired(now);
  // Slots that hosts may still take under limits granted before.
  int reserved = 0;
  for (const auto& [sender, limits] : granted_) {
    const auto use = senders.find(sender);
    const int in_flight = use == senders.end() ? 0 : use->second.in_flight;
    reserved += std::max(0, MaxUnexpiredLimit(sender) - in_flight);
  }
  int available = std::max(0, spare - reserved);
  std::map<std::string, int> limits;
  for (const auto& [sender, part] : Parts(std::max(0, spare), senders)) {
    const int in_flight = senders.at(sender).in_flight;
    const int granted = std::max(0, MaxUnexpiredLimit(sender) - in_flight);
    const int raised = std::clamp(part - granted, 0, available);
    available -= raised;
    limits[sender] = in_flight + std::min(part, granted) + raised;
    granted_[sender].push_back({limits[sender], now + limit_lifetime_});
  }
  return limits;
}

int HeadroomAllocator::MaxUnexpiredLimit(const std::string& sender) const {
  int max_limit = 0;
  const auto found = granted_.find(sender);
  if (found == granted_.end()) {
    return max_limit;
  }
  for (const Limit& limit : found->second) {
    max_limit = std::max(max_limit, limit.max_requests);
  }
  return max_limit;
}

void HeadroomAllocator::RemoveExpired(Instant now) {
  for (auto it = granted_.begin(); it != granted_.end();) {
    std::deque<Limit>& limits = it->second;
    while (!limits.empty() && limits.front().expires <= now) {
      limits.pop_front();
    }
    it = limits.empty() ? granted_.erase(it) : std::next(it);
  }
}

}  // namespace heatherlever
