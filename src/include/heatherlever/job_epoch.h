#ifndef HEATHERLEVER_JOB_EPOCH_H_
#define HEATHERLEVER_JOB_EPOCH_H_

#include <cstdint>
#include <vector>
#include "heatherlever/pool_assignment.h"

namespace heatherlever {

/// What the job ledger needs of an epoch record of the platform's table.
struct JobEpoch {
  std::uint64_t number = 0;
  std::uint64_t config_version = 0;
  std::vector<PoolAssignment> pools;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_JOB_EPOCH_H_
