#include "heather-entry/job_runner.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "heather-entry/directory.h"
#include "heather-entry/pool_set.h"
#include "heatherlever/job_epoch.h"
#include "heatherlever/job_ledger_options.h"
#include "heatherlever/job_message_codec.h"
#include "heatherlever/job_request.h"
#include "heathernet/event_loop.h"
#include "heathernet/peer_transport.h"

namespace heather_entry {

using heatherlever::HostId;
using heatherlever::Instant;
using heatherlever::JobOutcome;
using heatherlever::RequestOutcome;
using heathernet::EventLoop;

namespace {

constexpr char kFromName[] = "x-from-name";
constexpr char kFromIncarnation[] = "x-from-incarnation";
// Refusals remembered between a job's end and the reply to its caller.
constexpr std::size_t kMaxRefusals = 4096;
constexpr heatherlever::Duration kMessageTimeout =
    std::chrono::milliseconds(500);

heatherlever::JobLedgerOptions LedgerOptions(const HostId& self) {
  heatherlever::JobLedgerOptions options;
  options.self = self;
  return options;
}

std::uint64_t Fingerprint(const WorkRequest& request) {
  return XXH3_64bits(request.body.data(), request.body.size());
}

// The answer of a backend server as the ledger keeps it.
std::string Pack(const WorkAnswer& answer) {
  const nlohmann::json packed = {
      {"backend", answer.backend},
      {"type", answer.content_type},
      {"body",
       nlohmann::json::binary({answer.body.begin(), answer.body.end()})}};
  const auto bytes = nlohmann::json::to_cbor(packed);
  return {bytes.begin(), bytes.end()};
}

void Unpack(const std::string& text, WorkAnswer& answer) {
  if (text.empty()) {
    return;
  }
  const nlohmann::json packed = nlohmann::json::from_cbor(text);
  packed.at("backend").get_to(answer.backend);
  packed.at("type").get_to(answer.content_type);
  const auto& body = packed.at("body").get_binary();
  answer.body.assign(body.begin(), body.end());
}

JobOutcome ToJobOutcome(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kDone:
      return JobOutcome::kDone;
    case RequestOutcome::kNotRun:
      return JobOutcome::kNotRun;
    case RequestOutcome::kUnknown:
      break;
  }
  return JobOutcome::kUnknown;
}

RequestOutcome ToRequestOutcome(JobOutcome outcome) {
  switch (outcome) {
    case JobOutcome::kDone:
      return RequestOutcome::kDone;
    case JobOutcome::kNotRun:
      return RequestOutcome::kNotRun;
    case JobOutcome::kUnknown:
      break;
  }
  return RequestOutcome::kUnknown;
}

}  // namespace

JobRunner::JobRunner(EventLoop& loop,
                     heathernet::PeerTransport& peers,
                     Directory& directory,
                     PoolSet& pools,
                     HostId self)
    : loop_(loop),
      peers_(peers),
      directory_(directory),
      pools_(pools),
      self_(std::move(self)),
      ledger_(LedgerOptions(self_)) {}

void JobRunner::InstallEpoch() {
  const heatherlever::EpochRecord& epoch = directory_.epoch();
  heatherlever::JobEpoch jobs;
  jobs.number = epoch.number;
  jobs.config_version = static_cast<std::uint64_t>(epoch.config_version);
  jobs.pools = epoch.pools;
  ledger_.InstallEpoch(jobs, EventLoop::Now());
  Pump();
}

void JobRunner::Submit(const WorkRequest& request,
                       const heatherlever::KindSpec& kind,
                       const PoolName& pool,
                       bool depose,
                       Done done) {
  const Instant now = EventLoop::Now();
  heatherlever::JobRequest job;
  job.id = next_id_++;
  job.pool = pool.Text();
  job.key = {request.kind, request.key};
  job.fingerprint = Fingerprint(request);
  job.deadline = now + request.remaining;
  job.retention = kind.retention;
  requests_[job.id] = {request, kind, pool, job.deadline, std::move(done)};
  if (depose) {
    ledger_.SubmitAtBuddy(job, now);
  } else {
    ledger_.Submit(job, now);
  }
  Pump();
}

void JobRunner::OnMessage(const heathernet::PeerRequest& request) {
  const auto message = heatherlever::DecodeJobMessage(request.body);
  const auto name = request.headers.find(kFromName);
  const auto incarnation = request.headers.find(kFromIncarnation);
  if (!message.ok() || name == request.headers.end() ||
      incarnation == request.headers.end()) {
    return;
  }
  const HostId from = {name->second,
                       std::strtoull(incarnation->second.c_str(), nullptr, 10)};
  directory_.ReportHeard(from.name);
  ledger_.OnMessage(from, *message, EventLoop::Now());
  Pump();
}

void JobRunner::Leave() {
  ledger_.Leave(EventLoop::Now());
  Pump();
}

std::string JobRunner::Home(const PoolName& pool) const {
  const auto home = ledger_.Leader(pool.Text());
  return home ? home->name : "";
}

std::string JobRunner::Dump() const {
  return ledger_.Dump(EventLoop::Now());
}

void JobRunner::Pump() {
  if (pumping_) {
    return;
  }
  pumping_ = true;
  for (auto actions = ledger_.TakeActions(); !actions.empty();
       actions = ledger_.TakeActions()) {
    for (const heatherlever::JobAction& action : actions) {
      std::visit([this](const auto& one) { Run(one); }, action);
    }
  }
  pumping_ = false;
  SetTimer();
}

void JobRunner::Run(const heatherlever::SendJobMessage& action) {
  const HostId to = action.message.to;
  const auto host = directory_.FindEver(to.name);
  if (!host) {
    return;
  }
  heathernet::PeerRequest request;
  request.path = "/peer/job-message";
  request.headers = {{kFromName, self_.name},
                     {kFromIncarnation, std::to_string(self_.incarnation)}};
  request.body = heatherlever::EncodeJobMessage(action.message);
  request.timeout = kMessageTimeout;
  peers_.Call({host->address, host->peer_port}, std::move(request),
              [this, to](const heathernet::PeerResult& result) {
                if (result.outcome == heathernet::PeerOutcome::kAnswered) {
                  return;
                }
                directory_.ReportSilent(to.name, EventLoop::Now());
                ledger_.OnPeerUnreachable(to, EventLoop::Now());
                Pump();
              });
}

void JobRunner::Run(const heatherlever::EnqueueJob& action) {
  const auto found = requests_.find(action.request_id);
  if (found == requests_.end()) {
    Settle(action, NotRun("deadline"));
    return;
  }
  const Pending& pending = found->second;
  const JobPlace place = placer_(pending.request);
  if (place.admitted) {
    Enqueue(action, pending, place);
  } else {
    Settle(action, place.refusal);
  }
}

void JobRunner::Enqueue(const heatherlever::EnqueueJob& action,
                        const Pending& pending,
                        const JobPlace& place) {
  QueuedJob& job = queued_[{action.pool, action.attempt}];
  job.pool = place.pool;
  job.request = pending.request;
  job.deadline = pending.deadline;
  job.done = [this, action, on_done = place.on_done](const WorkAnswer& answer) {
    on_done(answer);
    Settle(action, answer);
  };
  if (!place.local) {
    return;
  }
  WorkRequest request = pending.request;
  request.remaining = pending.deadline - EventLoop::Now();
  const heatherlever::RequestId id =
      pools_.At(place.pool)
          .Submit(
              request, pending.kind, false,
              [this, action] {
                return ledger_.Dispatch(action.pool, action.key, action.attempt,
                                        EventLoop::Now());
              },
              job.done);
  // A refusal has settled the job already.
  const auto queued = queued_.find({action.pool, action.attempt});
  if (queued != queued_.end()) {
    queued->second.id = id;
  }
}

void JobRunner::Run(const heatherlever::AllowJob& action) {
  const auto job = queued_.find({action.pool, action.attempt});
  if (job == queued_.end()) {
    return;
  }
  if (job->second.id != 0) {
    pools_.At(job->second.pool).MarkReady(job->second.id);
  } else {
    SendRemote(action, job->second);
  }
}

void JobRunner::SendRemote(const heatherlever::AllowJob& action,
                           QueuedJob& job) {
  const Instant now = EventLoop::Now();
  if (!ledger_.Dispatch(action.pool, action.key, action.attempt, now)) {
    const Done done = job.done;
    done(NotRun("withdrawn"));
    return;
  }
  WorkRequest request = job.request;
  request.remaining = job.deadline - now;
  remote_dispatch_(request, job.pool, job.done);
}

void JobRunner::Run(const heatherlever::WithdrawJob& action) {
  const auto job = queued_.find({action.pool, action.attempt});
  if (job == queued_.end()) {
    return;
  }
  if (job->second.id != 0) {
    pools_.At(job->second.pool).Cancel(job->second.id);
  } else {
    const Done done = job->second.done;
    done(NotRun("withdrawn"));
  }
}

void JobRunner::Run(const heatherlever::ReplyJob& action) {
  const auto pending = Take(action.request_id);
  if (!pending) {
    return;
  }
  WorkAnswer answer;
  answer.outcome = ToRequestOutcome(action.outcome);
  answer.reason = JobReasonName(action.reason);
  const auto refusal =
      refusals_.find({pending->request.kind, pending->request.key});
  if (answer.outcome == RequestOutcome::kNotRun &&
      action.reason == heatherlever::JobReason::kSettled &&
      refusal != refusals_.end()) {
    answer = refusal->second;
    refusals_.erase(refusal);
  }
  Unpack(action.answer, answer);
  pending->done(answer);
}

void JobRunner::Run(const heatherlever::RedirectJob& action) {
  const auto pending = Take(action.request_id);
  if (!pending) {
    return;
  }
  WorkRequest request = pending->request;
  request.remaining = pending->deadline - EventLoop::Now();
  redirect_(request, action.to.name, pending->done);
}

void JobRunner::Settle(const heatherlever::EnqueueJob& job,
                       const WorkAnswer& answer) {
  queued_.erase({job.pool, job.attempt});
  if (answer.outcome == RequestOutcome::kNotRun) {
    RememberRefusal(job.key, answer);
  }
  ledger_.Settle(job.pool, job.key, job.attempt, ToJobOutcome(answer.outcome),
                 answer.outcome == RequestOutcome::kDone ? Pack(answer) : "",
                 EventLoop::Now());
  Pump();
}

void JobRunner::RememberRefusal(const heatherlever::JobKey& key,
                                const WorkAnswer& answer) {
  // Entries of requests that were answered otherwise stay behind.
  if (refusals_.size() >= kMaxRefusals) {
    refusals_.clear();
  }
  refusals_[key] = answer;
}

std::optional<JobRunner::Pending> JobRunner::Take(std::uint64_t request_id) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end()) {
    return std::nullopt;
  }
  Pending pending = std::move(found->second);
  requests_.erase(found);
  return pending;
}

void JobRunner::SetTimer() {
  timer_.Cancel();
  const auto wakeup = ledger_.NextWakeup();
  if (!wakeup) {
    return;
  }
  const auto delay =
      std::max(heatherlever::Duration(0), *wakeup - EventLoop::Now());
  timer_ = loop_.After(delay, [this] {
    ledger_.Tick(EventLoop::Now());
    Pump();
  });
}

}  // namespace heather_entry
