#include "heather-simulate/simulated_server.h"

#include <algorithm>
#include <utility>

#include "heather-simulate/event_queue.h"

namespace heather_simulate {
namespace {

using heatherlever::Duration;
using heathersteer::AttemptOutcome;

// A server is this much slower while it is cold.
constexpr int kColdWorkFactor = 2;

}  // namespace

std::uint64_t SimulatedServer::Submit(ServerJob job) {
  const std::uint64_t number = next_job_id_++;
  if (!alive_) {
    job.done(MakeResponse(AttemptOutcome::kNotSent));
    return number;
  }
  if (events_.now() < record_.cold_until) {
    cold_arrivals_.push_back(events_.now());
  }
  if (queue_.size() >= static_cast<std::size_t>(service_.max_queued) &&
      running_.size() >= static_cast<std::size_t>(service_.slots)) {
    job.done(MakeResponse(AttemptOutcome::kNotExecuted));
    return number;
  }
  queue_.emplace_back(number, std::move(job));
  RunNext();
  return number;
}

void SimulatedServer::Cancel(std::uint64_t number) {
  std::erase_if(queue_,
                [&](const auto& entry) { return entry.first == number; });
  running_.erase(number);
  RunNext();
}

void SimulatedServer::Stop() {
  alive_ = false;
  warm_objects_.clear();
  const auto lost_running = std::exchange(running_, {});
  const auto lost_queue = std::exchange(queue_, {});
  for (const auto& [number, job] : lost_running) {
    job.done(MakeResponse(AttemptOutcome::kBroken));
  }
  for (const auto& [number, job] : lost_queue) {
    job.done(MakeResponse(AttemptOutcome::kBroken));
  }
}

void SimulatedServer::Start(bool cold) {
  alive_ = true;
  ++record_.started_ms;
  if (cold) {
    record_.cold_until = events_.now() + service_.cold_start;
  }
}

void SimulatedServer::RunNext() {
  while (!queue_.empty() &&
         running_.size() < static_cast<std::size_t>(service_.slots)) {
    auto [number, job] = std::move(queue_.front());
    queue_.pop_front();
    double work = static_cast<double>(job.work.count());
    if (IsWarm(job.object)) {
      work *= service_.warm_work_factor;
    }
    if (events_.now() < record_.cold_until) {
      work *= kColdWorkFactor;
    }
    running_.emplace(number, std::move(job));
    events_.After(Duration(static_cast<std::int64_t>(work)),
                  [this, number = number] { Finish(number); });
  }
}

void SimulatedServer::Finish(std::uint64_t number) {
  auto ended = running_.extract(number);
  if (ended.empty()) {
    return;
  }
  MarkWarm(ended.mapped().object);
  // As real servers do, counts the request that is being answered.
  ServerResponse answer = MakeResponse(AttemptOutcome::kAnswered);
  ++answer.running;
  RunNext();
  ended.mapped().done(answer);
}

bool SimulatedServer::IsWarm(const std::string& object) const {
  return std::find(warm_objects_.begin(), warm_objects_.end(), object) !=
         warm_objects_.end();
}

void SimulatedServer::MarkWarm(const std::string& object) {
  warm_objects_.remove(object);
  warm_objects_.push_front(object);
  if (warm_objects_.size() > static_cast<std::size_t>(service_.warm_objects)) {
    warm_objects_.pop_back();
  }
}

ServerResponse SimulatedServer::MakeResponse(AttemptOutcome outcome) const {
  return {outcome, static_cast<int>(running_.size()),
          static_cast<int>(queue_.size())};
}

}  // namespace heather_simulate
