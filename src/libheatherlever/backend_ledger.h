#ifndef HEATHERLEVER_BACKEND_LEDGER_H_
#define HEATHERLEVER_BACKEND_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend_state.h"
#include "heatherlever/attempt_result.h"
#include "heatherlever/backend_report.h"
#include "heatherlever/backend_spec.h"
#include "heatherlever/instant.h"
#include "heatherlever/pool_options.h"

namespace heatherlever {

/// Number of a server in a BackendLedger.
using BackendIndex = std::size_t;

/// Exact account of the slots of a pool's backend servers: which are taken, and
/// which may be used.
class BackendLedger {
 public:
  /// Keeps a reference to the options.
  BackendLedger(const PoolOptions& options, std::uint64_t seed);

  /// See PoolQueue::SetBackends.
  void Update(const std::vector<BackendSpec>& specs,
              const std::set<std::string>& draining,
              Instant now);

  /// See PoolQueue::AdoptPool.
  void Adopt(const std::vector<BackendReport>& reports,
             Duration hold,
             Instant now);

  void Report(const BackendReport& report);

  /// The active server with the most free slots, except those in `excluded`;
  /// nullopt if none has a free slot for the work.
  std::optional<BackendIndex> Pick(const std::vector<BackendIndex>& excluded,
                                   bool idempotent);

  /// Whether any listed server outside `excluded` may take work, now or later.
  bool HasAlternative(const std::vector<BackendIndex>& excluded) const;

  void Take(BackendIndex index);
  void Release(BackendIndex index);

  /// Counts the end of an attempt into the server's limit and health.
  void OnResult(BackendIndex index,
                AttemptResult result,
                Duration latency,
                Instant now);

  /// Counts a failure: an attempt is overdue, and the server has not responded
  /// to any request since it was dispatched.
  void OnUnresponsive(BackendIndex index, Instant now);

  /// Ends ejections and releases slots of previous owners that are due by
  /// `now`.
  void Advance(Instant now);
  /// When Advance is due next.
  std::optional<Instant> NextDue() const;

  const BackendState& at(BackendIndex index) const { return states_[index]; }
  const std::vector<BackendState>& states() const { return states_; }
  /// When the server last responded.
  Instant last_response(BackendIndex index) const {
    return last_responses_[index];
  }

  /// Slots that may be used, and how many of them are free.
  int usable_slots() const;
  int free_slots() const;

 private:
  BackendState& FindOrAdd(const BackendSpec& spec, bool* added);
  BackendIndex VacantIndex();
  Duration MedianLatency();
  void EjectOutlier(BackendIndex index, Instant now);
  bool MayEject() const;
  void CountFailure(BackendIndex index, Instant now);

  const PoolOptions& options_;
  std::mt19937_64 random_;
  std::vector<BackendState> states_;
  std::vector<Instant> last_responses_;
  std::unordered_map<std::string, BackendIndex> by_name_;
  bool updated_before_ = false;
  std::vector<Duration> latencies_;
  Duration median_{0};
  int responses_until_median_ = 0;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_BACKEND_LEDGER_H_
