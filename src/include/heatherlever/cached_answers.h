#ifndef HEATHERLEVER_CACHED_ANSWERS_H_
#define HEATHERLEVER_CACHED_ANSWERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "heatherlever/instant.h"

namespace heatherlever {

/// Counts the look-up answers that callers may still follow, by target (such as
/// the region or the entry host that they name first), so that steering can
/// reckon with traffic that follows an older answer.
class CachedAnswers {
 public:
  /// Counts for `targets` targets and answers kept for `time_to_live`.
  CachedAnswers(std::size_t targets, Duration time_to_live);

  /// An answer that names `target` first was given.
  void OnAnswer(std::size_t target, Instant now);

  /// Answers that name `target` first and may still be followed. Counted by
  /// sixteenths of the time to live, rounded up.
  std::uint64_t Outstanding(std::size_t target, Instant now) const;

  /// Share of all outstanding answers that name `target` first, from 0 to 1; 0
  /// if there are none.
  double Share(std::size_t target, Instant now) const;

  /// When no answer that names `target` will be followed any more.
  Duration UntilForgotten(std::size_t target, Instant now) const;

 private:
  // One more than the divisor, as the oldest slot is counted in full.
  static constexpr std::size_t kSlots = 17;

  struct Target {
    std::array<std::uint64_t, kSlots> counts{};
    // Number of the slot's time, to tell old counts from new ones.
    std::array<std::int64_t, kSlots> times{};
    Instant last_answer{0};
    bool any = false;
  };

  std::int64_t SlotTime(Instant now) const;

  Duration time_to_live_;
  Duration slot_length_;
  std::vector<Target> targets_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CACHED_ANSWERS_H_
