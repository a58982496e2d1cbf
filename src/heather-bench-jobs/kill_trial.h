#ifndef HEATHER_BENCH_JOBS_KILL_TRIAL_H_
#define HEATHER_BENCH_JOBS_KILL_TRIAL_H_

#include <cstddef>
#include <cstdint>

namespace heather_bench_jobs {

/// Which member of the pool's term is killed.
enum class Victim : std::uint8_t { kNone, kHome, kBuddy, kWitness };

/// What became of the jobs of one or more trials.
struct TrialResult {
  std::int64_t jobs = 0;
  std::int64_t done = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  /// Unknown answers because records are lost: they go on until the retention
  /// has passed.
  std::int64_t records_lost = 0;
  /// Jobs of unknown outcome that did run.
  std::int64_t unknown_run = 0;
  /// Broken promises: second runs and false `not run` answers.
  std::int64_t violations = 0;
  /// Sum and count of the times from a caller's request to its job's start.
  double start_ms = 0;
  std::int64_t starts = 0;
  /// Sum of each trial's longest time without a start.
  double longest_gap_ms = 0;

  void Add(const TrialResult& other);
};

/// Simulates one pool with 1 to 3 members in virtual time: jobs arrive, one
/// member is killed after a second, peers notice after 20 ms, and a new epoch
/// without it comes into force 3 s later. Deterministic in the seed.
TrialResult RunKillTrial(std::size_t members,
                         Victim victim,
                         std::uint64_t seed);

}  // namespace heather_bench_jobs

#endif  // HEATHER_BENCH_JOBS_KILL_TRIAL_H_
