#ifndef HEATHERLEVER_WAIT_ESTIMATE_H_
#define HEATHERLEVER_WAIT_ESTIMATE_H_

#include <string>

#include "heatherlever/instant.h"

namespace heatherlever {

class KindQueue;
class RankedQueue;

/// Maximum wait that EstimateWait returns.
inline constexpr Duration kMaxWait = std::chrono::minutes(10);

/// The expected wait of a new request of `kind` by `caller` in a pool with
/// `usable_slots`, of which `free_slots` are free: the time to serve the work
/// ahead of it, of its rank and above, with the slots that other kinds leave
/// free.
Duration EstimateWait(const RankedQueue& queue,
                      const KindQueue& kind,
                      const std::string& caller,
                      int usable_slots,
                      int free_slots);

}  // namespace heatherlever

#endif  // HEATHERLEVER_WAIT_ESTIMATE_H_
