#include "heather-bench-jobs/kill_trial.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

#include "heather-bench-jobs/job_world.h"

namespace heather_bench_jobs {
namespace {

using heatherlever::Duration;
using heatherlever::JobEpoch;
using heatherlever::PoolTerm;
using std::chrono::milliseconds;

constexpr Duration kHopDelay{1500};
constexpr Duration kCallerDelay = milliseconds(3);
constexpr Duration kTickInterval = milliseconds(10);
constexpr Duration kKillAt = milliseconds(1000);
constexpr Duration kNoticed = milliseconds(20);
constexpr Duration kNewEpoch = milliseconds(3000);
constexpr Duration kEnd = milliseconds(6000);
constexpr Duration kLastArrival = milliseconds(5000);
constexpr Duration kDeadline = milliseconds(900);
constexpr Duration kRetention = std::chrono::hours(1);
constexpr double kArrivalsPerSecond = 100;
constexpr double kMeanServiceMs = 40;
constexpr int kMaxTries = 6;
constexpr double kMicrosecondsPerMs = 1000;
constexpr double kMsPerSecond = 1000;

// A job as its caller sees it, over all tries.
struct CallerJob {
  JobKey key;
  Instant submitted{0};
  int tries = 0;
  std::uint64_t request_id = 0;
  bool settled = false;
  /// Whether a living host ever had it.
  bool sent = false;
};

class KillTrial {
 public:
  KillTrial(std::size_t members, Victim victim, std::uint64_t seed)
      : victim_(victim), random_(seed) {
    const std::vector<std::string> names = {"a", "b", "c", "d"};
    for (const std::string& name : names) {
      world_.AddHost(name, {});
    }
    term_.number = 1;
    for (std::size_t i = 0; i < members; ++i) {
      term_.members.push_back({names[i], 1});
    }
    spare_ = {"d", 1};
    Install({});
  }

  TrialResult Run() {
    At(Instant(0), [this] { Arrive(); });
    At(Instant(0), [this] { TickAll(); });
    if (victim_ != Victim::kNone) {
      At(kKillAt, [this] { Kill(); });
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
      Pump();
    }
    Count();
    return result_;
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  void At(Instant at, std::function<void()> run) {
    if (at <= kEnd) {
      events_.push({at, ++last_order_, std::move(run)});
    }
  }

  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }

  static Duration Milliseconds(double value) {
    return Duration(static_cast<std::int64_t>(value * kMicrosecondsPerMs));
  }

  void Install(const PoolTerm& previous) {
    const JobEpoch epoch{term_.number, 1, {{"p", term_, previous}}};
    for (const auto& [name, host] : world_.hosts()) {
      if (host->alive) {
        world_.Install(name, epoch);
      }
    }
  }

  void Arrive() {
    CallerJob job;
    job.key = {"print", std::to_string(jobs_.size())};
    job.submitted = now_;
    jobs_.push_back(job);
    Try(jobs_.size() - 1);
    const Instant next =
        now_ + Milliseconds(Exponential(kMsPerSecond / kArrivalsPerSecond));
    if (next < kLastArrival) {
      At(next, [this] { Arrive(); });
    }
  }

  // Sends a job's request to the next host of the caller's list.
  void Try(std::size_t index) {
    CallerJob& job = jobs_[index];
    const std::size_t member =
        static_cast<std::size_t>(job.tries) % term_.members.size();
    const std::uint64_t id = ++last_request_;
    TrackedRequest tracked;
    tracked.request = {id, "p", job.key, 1, kDeadline, kRetention};
    tracked.host = term_.members[member].name;
    tracked.depose = member != 0;
    job.request_id = id;
    ++job.tries;
    world_.Track(tracked);
    At(now_ + kCallerDelay, [this, id] { Submit(id); });
  }

  void Submit(std::uint64_t id) {
    const TrackedRequest& tracked = world_.requests().at(id);
    if (!world_.host(tracked.host).alive) {
      world_.GiveUp(id);
      return;
    }
    jobs_[std::stoul(tracked.request.key.key)].sent = true;
    world_.SetClock(tracked.host, now_);
    world_.Submit(id);
    redirecting_.insert(id);
  }

  void TickAll() {
    for (const auto& [name, host] : world_.hosts()) {
      if (host->alive) {
        world_.SetClock(name, now_);
      }
    }
    for (std::size_t i = 0; i < jobs_.size(); ++i) {
      Check(i);
    }
    At(now_ + kTickInterval, [this] { TickAll(); });
  }

  // Retries a job whose connection broke; settles one that was answered.
  void Check(std::size_t index) {
    CallerJob& job = jobs_[index];
    const TrackedRequest& tracked = world_.requests().at(job.request_id);
    if (job.settled || !tracked.outcome) {
      return;
    }
    const bool broken = !world_.host(tracked.host).alive;
    if (broken && job.tries < kMaxTries) {
      Try(index);
      return;
    }
    job.settled = true;
  }

  void Kill() {
    const HostId dead = term_.members[VictimIndex()];
    world_.Kill(dead.name);
    At(now_ + kNoticed, [this, dead] {
      ForEachLiving(
          [&](const std::string& name) { world_.PeerUnreachable(name, dead); });
    });
    At(now_ + kNewEpoch, [this, dead] { WriteEpoch(dead); });
  }

  std::size_t VictimIndex() const {
    return static_cast<std::size_t>(victim_) - 1;
  }

  void WriteEpoch(const HostId& dead) {
    const PoolTerm previous = term_;
    ++term_.number;
    std::erase(term_.members, dead);
    term_.members.push_back(spare_);
    ForEachLiving(
        [&](const std::string& name) { world_.PeerGone(name, dead); });
    Install(previous);
  }

  template <typename Visit>
  void ForEachLiving(const Visit& visit) {
    for (const auto& [name, host] : world_.hosts()) {
      if (host->alive) {
        world_.SetClock(name, now_);
        visit(name);
      }
    }
  }

  // Gives what the hosts asked for its time.
  void Pump() {
    for (JobWorld::PacketPtr& packet : world_.network()) {
      At(now_ + kHopDelay, [this, packet] {
        const std::string& to = packet->message.to.name;
        if (world_.host(to).alive) {
          world_.SetClock(to, now_);
          world_.Deliver(*packet);
        }
      });
    }
    world_.network().clear();
    for (std::size_t i = 0; i < world_.queue().size();) {
      if (world_.queue()[i].allowed) {
        Dispatch(i);
      } else {
        ++i;
      }
    }
    Redirect();
  }

  void Dispatch(std::size_t index) {
    const QueuedJob job = world_.queue()[index];
    world_.SetClock(job.host, now_);
    if (!world_.Dispatch(index)) {
      return;
    }
    const CallerJob& caller = jobs_[std::stoul(job.key.key)];
    result_.start_ms += ToMs(now_ - caller.submitted);
    ++result_.starts;
    longest_gap_ = std::max(longest_gap_, now_ - last_start_);
    last_start_ = now_;
    At(now_ + Milliseconds(Exponential(kMeanServiceMs)),
       [this, job] { Finish(job); });
  }

  void Finish(const QueuedJob& job) {
    const std::vector<QueuedJob>& running = world_.running();
    for (std::size_t i = 0; i < running.size(); ++i) {
      if (running[i].Is(job.key, job.attempt)) {
        world_.SetClock(job.host, now_);
        world_.Finish(i, JobOutcome::kDone);
        return;
      }
    }
  }

  void Redirect() {
    for (auto id = redirecting_.begin(); id != redirecting_.end();) {
      const TrackedRequest& tracked = world_.requests().at(*id);
      if (tracked.outcome) {
        id = redirecting_.erase(id);
      } else if (!tracked.submitted) {
        const std::uint64_t request = *id;
        id = redirecting_.erase(id);
        At(now_ + kHopDelay, [this, request] { Submit(request); });
      } else {
        ++id;
      }
    }
  }

  static double ToMs(Duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
  }

  void Count() {
    for (const CallerJob& job : jobs_) {
      const TrackedRequest& last = world_.requests().at(job.request_id);
      const JobOutcome outcome =
          job.sent ? last.outcome.value_or(JobOutcome::kUnknown)
                   : JobOutcome::kNotRun;
      ++result_.jobs;
      result_.done += outcome == JobOutcome::kDone;
      result_.not_run += outcome == JobOutcome::kNotRun;
      result_.unknown += outcome == JobOutcome::kUnknown;
      result_.records_lost += outcome == JobOutcome::kUnknown &&
                              last.reason == JobReason::kRecordsLost;
      result_.unknown_run +=
          outcome == JobOutcome::kUnknown && world_.runs(job.key) > 0;
    }
    result_.violations = static_cast<std::int64_t>(world_.violations().size());
    longest_gap_ = std::max(longest_gap_, kLastArrival - last_start_);
    result_.longest_gap_ms = ToMs(longest_gap_);
  }

  Victim victim_;
  std::mt19937_64 random_;
  JobWorld world_;
  PoolTerm term_;
  HostId spare_;
  Instant now_{0};
  std::uint64_t last_order_ = 0;
  std::uint64_t last_request_ = 0;
  std::priority_queue<Event> events_;
  std::vector<CallerJob> jobs_;
  // Requests that may be redirected.
  std::set<std::uint64_t> redirecting_;
  Instant last_start_{0};
  Duration longest_gap_{0};
  TrialResult result_;
};

}  // namespace

void TrialResult::Add(const TrialResult& other) {
  jobs += other.jobs;
  done += other.done;
  not_run += other.not_run;
  unknown += other.unknown;
  records_lost += other.records_lost;
  unknown_run += other.unknown_run;
  violations += other.violations;
  start_ms += other.start_ms;
  starts += other.starts;
  longest_gap_ms += other.longest_gap_ms;
}

TrialResult RunKillTrial(std::size_t members,
                         Victim victim,
                         std::uint64_t seed) {
  return KillTrial(members, victim, seed).Run();
}

}  // namespace heather_bench_jobs
