#include "prober.h"

#include <iterator>

namespace heatherlever {

Prober::Prober(const MembershipOptions& options, std::uint64_t seed)
    : options_(options), random_(seed) {}

ProbeTarget& Prober::Add(const std::string& id, Instant now) {
  const auto [position, added] = targets_.try_emplace(id);
  ProbeTarget& target = position->second;
  if (added) {
    target.next_probe = now;
    target.last_answer = now;
    target.last_evidence = now;
  }
  return target;
}

void Prober::SetFlag(Flag flag, const std::set<std::string>& ids, Instant now) {
  for (auto& [id, target] : targets_) {
    target.*flag = false;
  }
  for (const std::string& id : ids) {
    Add(id, now).*flag = true;
  }
}

void Prober::SetNeighbors(const std::set<std::string>& ids, Instant now) {
  SetFlag(&ProbeTarget::neighbor, ids, now);
}

void Prober::SetWatched(const std::set<std::string>& ids, Instant now) {
  SetFlag(&ProbeTarget::watched, ids, now);
}

void Prober::Pick(const std::string& id, Instant now) {
  Add(id, now).picked = true;
}

Duration Prober::Interval(const ProbeTarget& target) const {
  return target.watched ? options_.watched_probe_interval
                        : options_.probe_interval;
}

Duration Prober::SuspectAfter(const ProbeTarget& target) const {
  return target.watched ? options_.watched_suspect_after
                        : options_.suspect_after;
}

Prober::Step Prober::Tick(Instant now) {
  Step step;
  for (auto it = targets_.begin(); it != targets_.end();) {
    if (it->second.wanted()) {
      TickTarget(it->first, it->second, now, step);
    }
    it = it->second.wanted() ? std::next(it) : targets_.erase(it);
  }
  return step;
}

void Prober::TickTarget(const std::string& id,
                        ProbeTarget& target,
                        Instant now,
                        Step& step) {
  if (!target.settled && now - target.probed >= options_.probe_timeout) {
    target.settled = true;
    step.unanswered.push_back({id, target.sequence, target.neighbor});
  }
  if (now - target.last_evidence > SuspectAfter(target)) {
    step.silent.push_back(id);
    target.picked = false;
  }
  const bool reachable =
      !target.watched || now - target.last_answer <= SuspectAfter(target);
  if (reachable != target.reachable) {
    target.reachable = reachable;
    step.changes.push_back({id, reachable});
  }
  if (target.wanted() && now >= target.next_probe) {
    target.sequence = next_sequence_++;
    target.probed = now;
    target.settled = false;
    // Up to a quarter earlier, so that hosts that start together drift apart.
    const auto interval = static_cast<std::uint64_t>(Interval(target).count());
    const std::uint64_t early = random_() % (interval / 4 + 1);
    target.next_probe =
        now + Duration(static_cast<Duration::rep>(interval - early));
    step.probes.push_back({id, target.sequence, target.neighbor});
  }
}

void Prober::OnAck(const std::string& id, std::uint64_t sequence, Instant now) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  ProbeTarget& target = found->second;
  target.last_answer = now;
  target.last_evidence = now;
  target.picked = false;
  if (sequence == target.sequence) {
    target.settled = true;
  }
}

void Prober::OnEvidence(const std::string& id, Instant now) {
  const auto found = targets_.find(id);
  if (found != targets_.end()) {
    found->second.last_evidence = now;
  }
}

void Prober::Reset(Instant now) {
  for (auto& [id, target] : targets_) {
    target.last_answer = now;
    target.last_evidence = now;
    target.settled = true;
  }
}

bool Prober::Reachable(const std::string& id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() || found->second.reachable;
}

}  // namespace heatherlever
