#ifndef HEATHER_STANDIN_EXCHANGE_TABLE_H_
#define HEATHER_STANDIN_EXCHANGE_TABLE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace heather_standin {

/// The exchanges of one stand-in backend server: which run, which took
/// effect, which were cancelled. The effect of an exchange comes at the end of
/// its service time and is counted once a run under its idempotency key.
class ExchangeTable {
 public:
  using Clock = std::chrono::steady_clock;

  /// How an exchange ended.
  enum class Outcome { kRan, kCancelled, kTooLate };

  /// What a cancellation found.
  enum class Cancellation {
    /// The exchange had no effect and will have none.
    kStopped,
    /// The effect came first.
    kTooLate,
  };

  struct Counts {
    std::uint64_t runs = 0;
    std::uint64_t shed = 0;
    std::uint64_t refused_deadline = 0;
    std::uint64_t cancelled = 0;
    /// Arrivals that found every slot taken.
    std::uint64_t over_slots = 0;
    /// Most requests at the same time, arrivals that were shed included.
    int peak_in_flight = 0;
    int in_flight = 0;
  };

  explicit ExchangeTable(int slots) : slots_(slots) {}

  /// Takes a slot; false, counted as shed, if none is free.
  bool Begin(const std::string& exchange);

  /// Waits for the service time and then has the effect, unless the exchange
  /// is cancelled or `deadline` passes first. Frees the slot.
  Outcome Run(const std::string& exchange,
              const std::string& key,
              Clock::duration service_time,
              Clock::time_point deadline);

  /// Gives the slot of Begin back without a run, for a deadline that the
  /// service time does not fit in.
  void RefuseDeadline(const std::string& exchange);

  /// Counts an arrival that was shed without looking at the slots.
  void Shed();

  /// Stops an exchange. One that has not arrived yet will be refused.
  Cancellation Cancel(const std::string& exchange);

  /// An exchange in progress other than `exchange`; empty if there is none.
  std::string OtherExchange(const std::string& exchange);

  /// Runs by idempotency key.
  std::map<std::string, std::uint64_t> Runs();
  Counts counts();

  /// Requests in progress as they were `lag` ago.
  int InFlightBefore(Clock::duration lag);

 private:
  struct LoadChange {
    Clock::time_point at;
    int in_flight;
  };

  void SetInFlight(int in_flight);
  void Remember(std::set<std::string>& names,
                std::deque<std::string>& order,
                const std::string& name);

  const int slots_;
  std::mutex mutex_;
  std::condition_variable cancelled_changed_;
  std::set<std::string> running_;
  std::set<std::string> cancelled_;
  std::deque<std::string> cancelled_order_;
  std::set<std::string> had_effect_;
  std::deque<std::string> had_effect_order_;
  std::map<std::string, std::uint64_t> runs_by_key_;
  std::deque<LoadChange> load_changes_;
  Counts counts_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_EXCHANGE_TABLE_H_
