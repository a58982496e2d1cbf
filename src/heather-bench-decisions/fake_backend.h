#ifndef HEATHER_BENCH_DECISIONS_FAKE_BACKEND_H_
#define HEATHER_BENCH_DECISIONS_FAKE_BACKEND_H_

#include <cstdint>
#include <functional>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include "heather-bench-decisions/event_queue.h"
#include "heatherlever/attempt_result.h"
#include "heatherlever/instant.h"

namespace heather_bench_decisions {

/// A backend server in virtual time: runs up to its slots, sheds the rest,
/// enforces deadlines and takes cancellations. Each message takes the one-way
/// delay.
class FakeBackend {
 public:
  using Answer = std::function<void(heatherlever::AttemptResult)>;

  /// How the server behaves; changed by scenarios.
  struct Behaviour {
    /// Requests that it runs; those above are shed.
    int real_slots = 0;
    /// Answers nothing any more.
    bool dead = false;
    /// Factor on the service time.
    double slowness = 1;
    /// Requests above which it runs `crowded_slowness` times slower.
    int crowded_above = 0;
    double crowded_slowness = 1;
    /// Start of a cold cache; the slowness of a cold server falls off linearly.
    bool cold = false;
    heatherlever::Instant cold_since{0};
  };

  FakeBackend(EventQueue& events,
              heatherlever::Duration one_way,
              int slots,
              std::uint64_t seed);

  Behaviour behaviour;

  /// Sends a request. `answer` is called at most once; never if the server
  /// is dead when it should answer.
  void Send(std::uint64_t attempt,
            heatherlever::Instant deadline,
            const Answer& answer);

  /// Asks to cancel a request; the answer is then kCancelled if it still ran.
  void Cancel(std::uint64_t attempt);

  /// Requests that run now.
  int running() const { return static_cast<int>(running_.size()); }
  int slots() const { return slots_; }
  /// Most requests beyond the slots that were sent, and neither answered nor
  /// past their deadline, at the same time.
  int peak_over_slots() const { return peak_over_slots_; }
  /// When the last request was sent to it.
  heatherlever::Instant last_sent() const { return last_sent_; }

 private:
  void Arrive(std::uint64_t attempt,
              heatherlever::Instant deadline,
              const Answer& answer);
  void End(std::uint64_t attempt, heatherlever::AttemptResult result);
  void Reply(std::uint64_t attempt,
             const Answer& answer,
             heatherlever::AttemptResult result);
  void Close(std::uint64_t attempt);
  heatherlever::Duration DrawServiceTime();

  EventQueue& events_;
  heatherlever::Duration one_way_;
  int slots_;
  std::mt19937_64 random_;
  std::unordered_map<std::uint64_t, Answer> running_;
  std::unordered_set<std::uint64_t> open_;
  int peak_over_slots_ = 0;
  heatherlever::Instant last_sent_{0};
};

}  // namespace heather_bench_decisions

#endif  // HEATHER_BENCH_DECISIONS_FAKE_BACKEND_H_
