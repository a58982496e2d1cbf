#include "heather-load/load_run.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

#include "heather-load/arrival.h"
#include "heather-load/caller.h"
#include "heather-load/load_plan.h"

namespace heather_load {

std::vector<RequestResult> RunLoad(const LoadPlan& plan,
                                   const std::vector<Arrival>& arrivals) {
  std::vector<RequestResult> results(arrivals.size());
  std::atomic<std::size_t> next{0};
  const auto start = Caller::Clock::now();
  const auto work = [&](std::uint64_t seed) {
    Caller caller(plan, seed);
    for (std::size_t i = next++; i < arrivals.size(); i = next++) {
      std::this_thread::sleep_until(start + arrivals[i].at);
      results[i] = caller.Send(arrivals[i], start);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < plan.threads; ++i) {
    threads.emplace_back(work, plan.seed + static_cast<std::uint64_t>(i));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

}  // namespace heather_load
