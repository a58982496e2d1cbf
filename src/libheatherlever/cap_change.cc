#include "heatherlever/cap_change.h"

#include <algorithm>
#include <utility>

namespace heatherlever {
namespace {

Caps LowerOf(const Caps& a, const Caps& b) {
  Caps lower;
  for (const auto& [rule, cap] : a) {
    const auto other = b.find(rule);
    lower[rule] = other == b.end() ? 0 : std::min(cap, other->second);
  }
  for (const auto& [rule, cap] : b) {
    lower.emplace(rule, 0);
  }
  return lower;
}

}  // namespace

CapChange::CapChange(const Caps& old_caps,
                     Caps new_caps,
                     std::set<std::string> hosts)
    : lower_caps_(LowerOf(old_caps, new_caps)),
      new_caps_(std::move(new_caps)),
      waiting_(std::move(hosts)) {}

const Caps& CapChange::caps() const {
  return complete() ? new_caps_ : lower_caps_;
}

void CapChange::Acknowledge(const std::string& host) {
  waiting_.erase(host);
}

void CapChange::Remove(const std::string& host) {
  waiting_.erase(host);
}

}  // namespace heatherlever
