#include "coalescing_index.h"

namespace heatherlever {

std::optional<JobId> CoalescingIndex::Find(const KindQueue* kind,
                                           const std::string& caller,
                                           std::uint64_t digest) const {
  if (digest == 0) {
    return std::nullopt;
  }
  const auto found = jobs_.find({kind, digest, caller});
  if (found == jobs_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void CoalescingIndex::Add(const KindQueue* kind,
                          const std::string& caller,
                          std::uint64_t digest,
                          JobId job) {
  if (digest != 0) {
    jobs_[{kind, digest, caller}] = job;
  }
}

void CoalescingIndex::Remove(const KindQueue* kind,
                             const std::string& caller,
                             std::uint64_t digest,
                             JobId job) {
  if (digest == 0) {
    return;
  }
  const auto found = jobs_.find({kind, digest, caller});
  if (found != jobs_.end() && found->second == job) {
    jobs_.erase(found);
  }
}

}  // namespace heatherlever
