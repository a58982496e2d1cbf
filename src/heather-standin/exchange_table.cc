#include "heather-standin/exchange_table.h"

#include <algorithm>

namespace heather_standin {
namespace {

constexpr std::size_t kRememberedExchanges = 262'144;
constexpr auto kRememberedLoad = std::chrono::seconds(60);

}  // namespace

bool ExchangeTable::Begin(const std::string& exchange) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counts_.peak_in_flight =
      std::max(counts_.peak_in_flight, counts_.in_flight + 1);
  if (counts_.in_flight >= slots_) {
    ++counts_.over_slots;
    ++counts_.shed;
    return false;
  }
  running_.insert(exchange);
  SetInFlight(counts_.in_flight + 1);
  return true;
}

ExchangeTable::Outcome ExchangeTable::Run(const std::string& exchange,
                                          const std::string& key,
                                          Clock::duration service_time,
                                          Clock::time_point deadline) {
  std::unique_lock<std::mutex> lock(mutex_);
  const Clock::time_point effect_at = Clock::now() + service_time;
  const bool cancelled = cancelled_changed_.wait_until(
      lock, effect_at, [&] { return cancelled_.contains(exchange); });
  running_.erase(exchange);
  SetInFlight(counts_.in_flight - 1);
  if (cancelled) {
    ++counts_.cancelled;
    return Outcome::kCancelled;
  }
  if (Clock::now() > deadline) {
    ++counts_.refused_deadline;
    return Outcome::kTooLate;
  }
  ++counts_.runs;
  Remember(had_effect_, had_effect_order_, exchange);
  if (!key.empty()) {
    ++runs_by_key_[key];
  }
  return Outcome::kRan;
}

void ExchangeTable::RefuseDeadline(const std::string& exchange) {
  const std::lock_guard<std::mutex> lock(mutex_);
  running_.erase(exchange);
  SetInFlight(counts_.in_flight - 1);
  ++counts_.refused_deadline;
}

void ExchangeTable::Shed() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++counts_.shed;
}

ExchangeTable::Cancellation ExchangeTable::Cancel(const std::string& exchange) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (had_effect_.contains(exchange)) {
    return Cancellation::kTooLate;
  }
  Remember(cancelled_, cancelled_order_, exchange);
  cancelled_changed_.notify_all();
  return Cancellation::kStopped;
}

std::string ExchangeTable::OtherExchange(const std::string& exchange) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto other =
      std::find_if(running_.begin(), running_.end(),
                   [&](const std::string& name) { return name != exchange; });
  return other == running_.end() ? "" : *other;
}

std::map<std::string, std::uint64_t> ExchangeTable::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_by_key_;
}

ExchangeTable::Counts ExchangeTable::counts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return counts_;
}

int ExchangeTable::InFlightBefore(Clock::duration lag) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Clock::time_point then = Clock::now() - lag;
  int in_flight = 0;
  for (const LoadChange& change : load_changes_) {
    if (change.at > then) {
      break;
    }
    in_flight = change.in_flight;
  }
  return in_flight;
}

void ExchangeTable::SetInFlight(int in_flight) {
  const Clock::time_point now = Clock::now();
  counts_.in_flight = in_flight;
  load_changes_.push_back({now, in_flight});
  // The newest change that is old enough has to stay: it gives the load
  // between itself and the next one.
  while (load_changes_.size() > 1 &&
         load_changes_[1].at < now - kRememberedLoad) {
    load_changes_.pop_front();
  }
}

void ExchangeTable::Remember(std::set<std::string>& names,
                             std::deque<std::string>& order,
                             const std::string& name) {
  if (!names.insert(name).second) {
    return;
  }
  order.push_back(name);
  if (order.size() > kRememberedExchanges) {
    names.erase(order.front());
    order.pop_front();
  }
}

}  // namespace heather_standin
