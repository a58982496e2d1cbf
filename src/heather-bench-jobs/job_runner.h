#ifndef HEATHER_BENCH_JOBS_JOB_RUNNER_H_
#define HEATHER_BENCH_JOBS_JOB_RUNNER_H_

#include <set>
#include <string>

#include "heather-bench-jobs/job_world.h"

namespace heather_bench_jobs {

/// Lets a world go on, oldest message first, until nothing is left to do.
class JobRunner {
 public:
  explicit JobRunner(JobWorld& world) : world_(world) {}

  /// Hosts that take no step; messages to and from them wait.
  std::set<std::string> frozen;
  /// Whether backend servers keep their jobs for now.
  bool hold_backend = false;
  /// What backend servers make of jobs.
  JobOutcome backend_outcome = JobOutcome::kDone;

  void Run() {
    while (SubmitOne() || DeliverOne() || DispatchOne() || FinishOne()) {
    }
  }

  /// Delivers messages only.
  void Deliver() {
    while (DeliverOne()) {
    }
  }

 private:
  bool IsFrozen(const std::string& host) const {
    return frozen.count(host) != 0;
  }

  bool SubmitOne() {
    for (const auto& [id, tracked] : world_.requests()) {
      if (tracked.submitted || tracked.outcome || IsFrozen(tracked.host)) {
        continue;
      }
      if (world_.host(tracked.host).alive) {
        world_.Submit(id);
      } else {
        world_.GiveUp(id);
      }
      return true;
    }
    return false;
  }

  bool DeliverOne() {
    auto& network = world_.network();
    for (auto packet = network.begin(); packet != network.end(); ++packet) {
      if (!IsFrozen((*packet)->from.name) &&
          !IsFrozen((*packet)->message.to.name)) {
        const JobWorld::PacketPtr next = *packet;
        network.erase(packet);
        world_.Deliver(*next);
        return true;
      }
    }
    return false;
  }

  bool DispatchOne() {
    for (std::size_t i = 0; i < world_.queue().size(); ++i) {
      if (world_.queue()[i].allowed && !IsFrozen(world_.queue()[i].host)) {
        world_.Dispatch(i);
        return true;
      }
    }
    return false;
  }

  bool FinishOne() {
    if (hold_backend) {
      return false;
    }
    for (std::size_t i = 0; i < world_.running().size(); ++i) {
      if (!IsFrozen(world_.running()[i].host)) {
        world_.Finish(i, backend_outcome);
        return true;
      }
    }
    return false;
  }

  JobWorld& world_;
};

}  // namespace heather_bench_jobs

#endif  // HEATHER_BENCH_JOBS_JOB_RUNNER_H_
