#include "heather-bench-decisions/fake_backend.h"

#include <algorithm>

#include "heather-bench-decisions/deployment.h"

namespace heather_bench_decisions {
namespace {

using heatherlever::AttemptResult;
using heatherlever::Duration;
using heatherlever::Instant;

constexpr double kColdSlowness = 5;
constexpr Duration kColdTime = std::chrono::seconds(3);

}  // namespace

FakeBackend::FakeBackend(EventQueue& events,
                         Duration one_way,
                         int slots,
                         std::uint64_t seed)
    : events_(events), one_way_(one_way), slots_(slots), random_(seed) {
  behaviour.real_slots = slots;
  behaviour.crowded_above = slots;
}

void FakeBackend::Send(std::uint64_t attempt,
                       Instant deadline,
                       const Answer& answer) {
  last_sent_ = events_.now();
  open_.insert(attempt);
  peak_over_slots_ =
      std::max(peak_over_slots_, static_cast<int>(open_.size()) - slots_);
  events_.At(deadline, [this, attempt] { Close(attempt); });
  events_.After(one_way_, [this, attempt, deadline, answer] {
    Arrive(attempt, deadline, answer);
  });
}

void FakeBackend::Cancel(std::uint64_t attempt) {
  events_.After(one_way_,
                [this, attempt] { End(attempt, AttemptResult::kCancelled); });
}

void FakeBackend::Arrive(std::uint64_t attempt,
                         Instant deadline,
                         const Answer& answer) {
  if (behaviour.dead) {
    return;
  }
  if (running() >= behaviour.real_slots) {
    Reply(attempt, answer, AttemptResult::kShed);
    return;
  }
  running_[attempt] = answer;
  const Instant end = events_.now() + DrawServiceTime();
  const bool in_time = end <= deadline;
  events_.At(in_time ? end : deadline, [this, attempt, in_time] {
    End(attempt, in_time ? AttemptResult::kOk : AttemptResult::kError);
  });
}

void FakeBackend::End(std::uint64_t attempt, AttemptResult result) {
  const auto found = running_.find(attempt);
  if (found == running_.end() || behaviour.dead) {
    return;
  }
  const Answer answer = found->second;
  running_.erase(found);
  Reply(attempt, answer, result);
}

void FakeBackend::Reply(std::uint64_t attempt,
                        const Answer& answer,
                        AttemptResult result) {
  events_.After(one_way_, [this, attempt, answer, result] {
    Close(attempt);
    answer(result);
  });
}

// Servers enforce deadlines, so a request without an answer ends by then.
void FakeBackend::Close(std::uint64_t attempt) {
  open_.erase(attempt);
}

Duration FakeBackend::DrawServiceTime() {
  double mean_us =
      static_cast<double>(kServiceTime.count()) * behaviour.slowness;
  if (running() > behaviour.crowded_above) {
    mean_us *= behaviour.crowded_slowness;
  }
  if (behaviour.cold) {
    const double age =
        static_cast<double>((events_.now() - behaviour.cold_since).count()) /
        static_cast<double>(kColdTime.count());
    mean_us *= std::max(1.0, kColdSlowness - (kColdSlowness - 1) * age);
  }
  std::exponential_distribution<double> draw(1 / mean_us);
  return Duration(static_cast<std::int64_t>(draw(random_)));
}

}  // namespace heather_bench_decisions
