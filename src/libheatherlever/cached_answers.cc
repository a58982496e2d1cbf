#include "heatherlever/cached_answers.h"

#include <algorithm>

namespace heatherlever {

CachedAnswers::CachedAnswers(std::size_t targets, Duration time_to_live)
    : time_to_live_(time_to_live),
      slot_length_(std::max(
          time_to_live / static_cast<Duration::rep>(kSlots - 1) + Duration(1),
          Duration(1))),
      targets_(targets) {}

void CachedAnswers::OnAnswer(std::size_t target, Instant now) {
  Target& entry = targets_[target];
  const std::int64_t time = SlotTime(now);
  const std::size_t slot = static_cast<std::size_t>(time) % kSlots;
  if (entry.times[slot] != time) {
    entry.times[slot] = time;
    entry.counts[slot] = 0;
  }
  ++entry.counts[slot];
  entry.last_answer = now;
  entry.any = true;
}

std::uint64_t CachedAnswers::Outstanding(std::size_t target,
                                         Instant now) const {
  const Target& entry = targets_[target];
  const std::int64_t oldest =
      SlotTime(now) - static_cast<std::int64_t>(kSlots) + 1;
  std::uint64_t sum = 0;
  for (std::size_t slot = 0; slot < kSlots; ++slot) {
    if (entry.times[slot] >= oldest) {
      sum += entry.counts[slot];
    }
  }
  return sum;
}

double CachedAnswers::Share(std::size_t target, Instant now) const {
  std::uint64_t total = 0;
  for (std::size_t other = 0; other < targets_.size(); ++other) {
    total += Outstanding(other, now);
  }
  if (total == 0) {
    return 0;
  }
  return static_cast<double>(Outstanding(target, now)) /
         static_cast<double>(total);
}

Duration CachedAnswers::UntilForgotten(std::size_t target, Instant now) const {
  const Target& entry = targets_[target];
  if (!entry.any) {
    return Duration(0);
  }
  return std::max(entry.last_answer + time_to_live_ - now, Duration(0));
}

std::int64_t CachedAnswers::SlotTime(Instant now) const {
  return now / slot_length_;
}

}  // namespace heatherlever
