#ifndef HEATHER_BENCH_JOBS_JOB_WORLD_H_
#define HEATHER_BENCH_JOBS_JOB_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "heatherlever/job_ledger.h"
#include "heatherlever/job_message_codec.h"

namespace heather_bench_jobs {

using heatherlever::HostId;
using heatherlever::Instant;
using heatherlever::JobAttempt;
using heatherlever::JobKey;
using heatherlever::JobLedger;
using heatherlever::JobOutcome;
using heatherlever::JobReason;

/// A message on its way between two hosts.
struct JobPacket {
  HostId from;
  heatherlever::JobMessage message;
  /// Sender and encoded message, made when first asked for.
  mutable std::string text;

  const std::string& Text() const {
    if (text.empty()) {
      text = from.name + std::to_string(from.incarnation) +
             heatherlever::EncodeJobMessage(message);
    }
    return text;
  }
};

/// A job in a host's queue or on a backend server.
struct QueuedJob {
  std::string host;
  std::uint64_t incarnation = 0;
  std::string pool;
  JobKey key;
  JobAttempt attempt;
  std::uint64_t request_id = 0;
  bool allowed = false;

  bool Is(const JobKey& other, const JobAttempt& number) const {
    return key == other && attempt == number;
  }
};

/// A request as its caller sees it.
struct TrackedRequest {
  heatherlever::JobRequest request;
  /// Host that has it now, or is to get it next.
  std::string host;
  bool depose = false;
  bool submitted = false;
  int redirects = 0;
  std::optional<JobOutcome> outcome;
  JobReason reason = JobReason::kSettled;
  std::string answer;
};

/// Entry hosts with real job ledgers, and a backend that counts runs. Nothing
/// happens by itself: whoever drives it picks what comes next. Copies are
/// independent. Each host has its own clock.
class JobWorld {
 public:
  struct Host {
    JobLedger ledger;
    HostId id;
    Instant now{0};
    bool alive = true;
    /// Dump of the ledger, made when first asked for.
    mutable std::string dump;

    const std::string& Dump() const {
      if (dump.empty()) {
        dump = ledger.Dump(now);
      }
      return dump;
    }
  };
  using PacketPtr = std::shared_ptr<const JobPacket>;

  /// Redirects that an entry host follows before it gives up.
  static constexpr int kMaxRedirects = 3;

  void AddHost(const std::string& name,
               heatherlever::JobLedgerOptions options) {
    options.self = {name, 1};
    options_[name] = options;
    hosts_[name] = std::make_shared<Host>(
        Host{JobLedger(options), options.self, Instant(0), true, ""});
  }

  void Install(const std::string& name, const heatherlever::JobEpoch& epoch) {
    Host& host = Mutable(name);
    host.ledger.InstallEpoch(epoch, host.now);
    Collect(host);
  }

  /// Adds a request; it reaches its host by Submit.
  void Track(TrackedRequest request) {
    const std::uint64_t id = request.request.id;
    requests_[id] = std::move(request);
  }

  void Submit(std::uint64_t id) {
    TrackedRequest& tracked = requests_.at(id);
    tracked.submitted = true;
    Host& host = Mutable(tracked.host);
    heatherlever::JobRequest request = tracked.request;
    request.deadline += host.now;
    if (tracked.depose) {
      host.ledger.SubmitAtBuddy(request, host.now);
    } else {
      host.ledger.Submit(request, host.now);
    }
    Collect(host);
  }

  void Deliver(const JobPacket& packet) {
    Host& host = Mutable(packet.message.to.name);
    if (host.alive) {
      host.ledger.OnMessage(packet.from, packet.message, host.now);
      Collect(host);
    }
  }

  /// The caller gives a request up, as its host is dead or does not answer.
  void GiveUp(std::uint64_t id) {
    TrackedRequest& tracked = requests_.at(id);
    tracked.outcome = JobOutcome::kUnknown;
    tracked.reason = JobReason::kHolderSilent;
  }

  /// Lets the queue dispatch a job; whether it went to a backend server.
  bool Dispatch(std::size_t index) {
    const QueuedJob job = queue_[index];
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
    Host& host = Mutable(job.host);
    const bool sent =
        host.ledger.Dispatch(job.pool, job.key, job.attempt, host.now);
    if (sent) {
      running_.push_back(job);
      CheckDispatch(job);
    }
    Collect(host);
    return sent;
  }

  /// The backend server runs or sheds a job and answers, if its host lives.
  void Finish(std::size_t index, JobOutcome outcome) {
    const QueuedJob job = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    if (outcome != JobOutcome::kNotRun) {
      ++runs_[job.key];
    }
    Host& host = Mutable(job.host);
    if (host.alive && host.id.incarnation == job.incarnation) {
      host.ledger.Settle(job.pool, job.key, job.attempt, outcome,
                         "answer of " + job.key.key, host.now);
      Collect(host);
    }
  }

  /// Ends the host's process; its queue and requests are lost.
  void Kill(const std::string& name) {
    Host& host = Mutable(name);
    host.alive = false;
    std::erase_if(queue_,
                  [&](const QueuedJob& job) { return job.host == name; });
    for (auto& [id, tracked] : requests_) {
      if (tracked.host == name && tracked.submitted && !tracked.outcome) {
        tracked.outcome = JobOutcome::kUnknown;
        tracked.reason = JobReason::kHolderSilent;
      }
    }
  }

  /// Starts a new process on the host, with the next incarnation.
  void Restart(const std::string& name) {
    Kill(name);
    Host& host = Mutable(name);
    heatherlever::JobLedgerOptions& options = options_.at(name);
    ++options.self.incarnation;
    host.id = options.self;
    host.ledger = JobLedger(options);
    host.alive = true;
  }

  void SetClock(const std::string& name, Instant now) {
    Host& host = Mutable(name);
    host.now = now;
    host.ledger.Tick(now);
    Collect(host);
  }

  void Leave(const std::string& name) {
    Host& host = Mutable(name);
    host.ledger.Leave(host.now);
    Collect(host);
  }

  void PeerUnreachable(const std::string& name, const HostId& peer) {
    Host& host = Mutable(name);
    host.ledger.OnPeerUnreachable(peer, host.now);
    Collect(host);
  }

  void PeerGone(const std::string& name, const HostId& peer) {
    Host& host = Mutable(name);
    host.ledger.OnPeerGone(peer, host.now);
    Collect(host);
  }

  /// Promises that were broken so far, in words.
  const std::vector<std::string>& violations() const { return violations_; }

  std::vector<PacketPtr>& network() { return network_; }
  const std::vector<PacketPtr>& network() const { return network_; }
  const Host& host(const std::string& name) const { return *hosts_.at(name); }
  const std::map<std::string, std::shared_ptr<Host>>& hosts() const {
    return hosts_;
  }
  /// Attempts whose requests were told `not run`.
  const std::set<JobAttempt>& refused() const { return refused_; }
  const std::vector<QueuedJob>& queue() const { return queue_; }
  const std::vector<QueuedJob>& running() const { return running_; }
  const std::map<std::uint64_t, TrackedRequest>& requests() const {
    return requests_;
  }
  int runs(const JobKey& key) const {
    const auto found = runs_.find(key);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  Host& Mutable(const std::string& name) {
    std::shared_ptr<Host>& host = hosts_.at(name);
    if (host.use_count() > 1) {
      host = std::make_shared<Host>(*host);
    }
    host->dump.clear();
    return *host;
  }

  // Runs of a key, with those that a backend server may still do.
  int PossibleRuns(const JobKey& key) const {
    int count = runs(key);
    for (const QueuedJob& job : running_) {
      count += job.key == key ? 1 : 0;
    }
    return count;
  }

  void CheckDispatch(const QueuedJob& job) {
    if (PossibleRuns(job.key) > 1) {
      violations_.push_back(job.key.key + " may run twice");
    }
    if (refused_.count(job.attempt) != 0) {
      violations_.push_back(job.key.key + " runs after its 'not run'");
    }
  }

  void Collect(Host& host) {
    for (heatherlever::JobAction& action : host.ledger.TakeActions()) {
      std::visit([&](auto& value) { On(host, value); }, action);
    }
  }

  void On(Host& host, heatherlever::SendJobMessage& send) {
    network_.push_back(std::make_shared<const JobPacket>(
        JobPacket{host.id, std::move(send.message), ""}));
  }

  void On(Host& host, heatherlever::EnqueueJob& job) {
    queue_.push_back({host.id.name, host.id.incarnation, job.pool, job.key,
                      job.attempt, job.request_id, false});
    attempts_[job.request_id] = job.attempt;
  }

  void On(Host&, heatherlever::AllowJob& job) {
    for (QueuedJob& queued : queue_) {
      queued.allowed = queued.allowed || queued.Is(job.key, job.attempt);
    }
  }

  void On(Host&, heatherlever::WithdrawJob& job) {
    std::erase_if(queue_, [&](const QueuedJob& queued) {
      return queued.Is(job.key, job.attempt);
    });
  }

  void On(Host&, heatherlever::RedirectJob& redirect) {
    TrackedRequest& tracked = requests_.at(redirect.request_id);
    if (++tracked.redirects > kMaxRedirects) {
      tracked.outcome = JobOutcome::kUnknown;
      tracked.reason = JobReason::kNoHome;
      return;
    }
    tracked.host = redirect.to.name;
    tracked.depose = false;
    tracked.submitted = false;
  }

  void On(Host&, heatherlever::ReplyJob& reply) {
    TrackedRequest& tracked = requests_.at(reply.request_id);
    const JobKey& key = tracked.request.key;
    if (tracked.outcome) {
      violations_.push_back("a second reply to one request");
    }
    tracked.outcome = reply.outcome;
    tracked.reason = reply.reason;
    tracked.answer = reply.answer;
    if (reply.outcome == JobOutcome::kDone &&
        (runs(key) == 0 || reply.answer != "answer of " + key.key)) {
      violations_.push_back(key.key + " is said to be done and is not");
    }
    if (reply.outcome != JobOutcome::kNotRun ||
        reply.reason == JobReason::kKeyReused) {
      return;
    }
    if (PossibleRuns(key) > 0) {
      violations_.push_back(key.key + " is said to be not run and may be run");
    }
    const auto attempt = attempts_.find(reply.request_id);
    if (attempt != attempts_.end()) {
      refused_.insert(attempt->second);
    }
  }

  std::map<std::string, heatherlever::JobLedgerOptions> options_;
  // Shared by copies of the world until one changes it.
  std::map<std::string, std::shared_ptr<Host>> hosts_;
  std::vector<PacketPtr> network_;
  std::vector<QueuedJob> queue_;
  std::vector<QueuedJob> running_;
  std::map<JobKey, int> runs_;
  std::map<std::uint64_t, TrackedRequest> requests_;
  // Attempt that was started for a request.
  std::map<std::uint64_t, JobAttempt> attempts_;
  std::set<JobAttempt> refused_;
  std::vector<std::string> violations_;
};

}  // namespace heather_bench_jobs

#endif  // HEATHER_BENCH_JOBS_JOB_WORLD_H_
