#ifndef HEATHERLEVER_PROBER_H_
#define HEATHERLEVER_PROBER_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/instant.h"
#include "heatherlever/membership_options.h"
#include "probe_target.h"

namespace heatherlever {

/// Decides when to probe which host, and which hosts have been silent for too
/// long.
class Prober {
 public:
  struct Probe {
    std::string id;
    std::uint64_t sequence = 0;
    bool neighbor = false;
  };
  struct Reachability {
    std::string id;
    bool reachable = false;
  };
  /// What a tick brings.
  struct Step {
    std::vector<Probe> probes;
    /// Probes without an answer in time: helpers are to be asked.
    std::vector<Probe> unanswered;
    /// Hosts without any sign of life in time.
    std::vector<std::string> silent;
    /// Watched hosts that began or ceased to answer.
    std::vector<Reachability> changes;
  };

  Prober(const MembershipOptions& options, std::uint64_t seed);

  void SetNeighbors(const std::set<std::string>& ids, Instant now);
  void SetWatched(const std::set<std::string>& ids, Instant now);
  /// Probes a host until it answers or counts as silent.
  void Pick(const std::string& id, Instant now);

  Step Tick(Instant now);

  void OnAck(const std::string& id, std::uint64_t sequence, Instant now);
  /// Any other sign of life.
  void OnEvidence(const std::string& id, Instant now);

  /// Forgets all silence, after a pause of this process.
  void Reset(Instant now);

  bool Reachable(const std::string& id) const;
  std::uint64_t NextSequence() { return next_sequence_++; }

 private:
  using Flag = bool ProbeTarget::*;

  void SetFlag(Flag flag, const std::set<std::string>& ids, Instant now);
  ProbeTarget& Add(const std::string& id, Instant now);
  Duration Interval(const ProbeTarget& target) const;
  Duration SuspectAfter(const ProbeTarget& target) const;
  void TickTarget(const std::string& id,
                  ProbeTarget& target,
                  Instant now,
                  Step& step);

  MembershipOptions options_;
  std::mt19937_64 random_;
  std::map<std::string, ProbeTarget> targets_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_PROBER_H_
