#ifndef HEATHERLEVER_COALESCING_INDEX_H_
#define HEATHERLEVER_COALESCING_INDEX_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "fair_queue.h"

namespace heatherlever {

class KindQueue;

/// Finds the job that an identical request of the same caller can share.
class CoalescingIndex {
 public:
  std::optional<JobId> Find(const KindQueue* kind,
                            const std::string& caller,
                            std::uint64_t digest) const;

  /// No effect for digest 0.
  void Add(const KindQueue* kind,
           const std::string& caller,
           std::uint64_t digest,
           JobId job);

  /// No effect if the entry is missing or belongs to another job.
  void Remove(const KindQueue* kind,
              const std::string& caller,
              std::uint64_t digest,
              JobId job);

 private:
  using Key = std::tuple<const KindQueue*, std::uint64_t, std::string>;

  std::map<Key, JobId> jobs_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_COALESCING_INDEX_H_
