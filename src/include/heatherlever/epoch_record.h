#ifndef HEATHERLEVER_EPOCH_RECORD_H_
#define HEATHERLEVER_EPOCH_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "heatherlever/host_record.h"
#include "heatherlever/pool_assignment.h"

namespace heatherlever {

/// The membership of a deployment for a while, kept in the platform's table
/// and replaced only by compare-and-swap. It decides who keeps the records of
/// non-idempotent jobs, and who owns the pools.
struct EpochRecord {
  /// Grows by one with each record.
  std::uint64_t number = 0;
  /// Configuration whose client blocks give the home regions of jobs.
  std::int64_t config_version = 0;
  std::vector<HostRecord> members;
  /// The region whose entry hosts keep the jobs of each home region: itself,
  /// or another one while it has none.
  std::map<std::string, std::string> acting_regions;
  /// Home and buddy of the jobs of each pool.
  std::vector<PoolAssignment> pools;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_EPOCH_RECORD_H_
