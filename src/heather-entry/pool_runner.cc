#include "heather-entry/pool_runner.h"

#include <xxhash.h>

#include <utility>

#include "heather-entry/backend_call.h"
#include "heather-entry/backend_client.h"
#include "heatherlever/ipv4.h"
#include "heatherlever/pool_options.h"
#include "heatherlever/pool_request.h"
#include "heathernet/event_loop.h"

namespace heather_entry {

using heatherlever::AttemptId;
using heatherlever::AttemptResult;
using heatherlever::Instant;
using heatherlever::RequestId;
using heatherlever::RequestOutcome;

namespace {

// Requests in flight when another owner was lost hold their slots this long.
constexpr heatherlever::Duration kAdoptHold = std::chrono::seconds(1);

// 0 stands for work that shares no attempt.
std::uint64_t CoalescingDigest(const WorkRequest& request) {
  const std::uint64_t digest =
      XXH3_64bits(request.body.data(), request.body.size());
  return digest == 0 ? 1 : digest;
}

}  // namespace

std::shared_ptr<PoolRunner> PoolRunner::Create(heathernet::EventLoop& loop,
                                               BackendClient& backends,
                                               PoolName name,
                                               std::string host,
                                               std::uint64_t seed) {
  std::shared_ptr<PoolRunner> runner(
      new PoolRunner(loop, backends, std::move(name), std::move(host)));
  runner->queue_ = std::move(
      heatherlever::PoolQueue::Create(heatherlever::PoolOptions(), seed)
          .value());
  return runner;
}

PoolRunner::PoolRunner(heathernet::EventLoop& loop,
                       BackendClient& backends,
                       PoolName name,
                       std::string host)
    : loop_(loop),
      client_(backends),
      name_(std::move(name)),
      host_(std::move(host)) {}

void PoolRunner::SetBackends(
    const std::vector<heatherlever::BackendSpec>& backends,
    const std::set<std::string>& draining) {
  const bool first = backends_.empty();
  for (const heatherlever::BackendSpec& backend : backends) {
    backends_[backend.name] = backend;
  }
  const Instant now = heathernet::EventLoop::Now();
  queue_->SetBackends(backends, draining, now);
  if (first) {
    queue_->AdoptPool({}, kAdoptHold, now);
  }
  Pump();
}

void PoolRunner::Readopt() {
  queue_->AdoptPool({}, kAdoptHold, heathernet::EventLoop::Now());
  Pump();
}

RequestId PoolRunner::Submit(const WorkRequest& request,
                             const heatherlever::KindSpec& kind,
                             bool ready,
                             DispatchGate gate,
                             Done done) {
  const Instant now = heathernet::EventLoop::Now();
  const RequestId id = next_id_++;
  heatherlever::PoolRequest queued;
  queued.id = id;
  queued.kind = kind.name;
  queued.rank = kind.rank;
  queued.caller = heatherlever::FormatIpv4(request.client_address);
  queued.floor_share = kind.floor_share;
  queued.deadline = now + request.remaining;
  queued.service_time = kind.service_time;
  queued.idempotent = kind.idempotent;
  queued.coalescing_digest = kind.idempotent ? CoalescingDigest(request) : 0;
  queued.ready = ready;
  requests_[id] = {request, kind.idempotent, queued.deadline, std::move(gate),
                   std::move(done)};
  queue_->Submit(queued, now);
  Pump();
  return id;
}

void PoolRunner::MarkReady(RequestId id) {
  queue_->MarkReady(id, heathernet::EventLoop::Now());
  Pump();
}

void PoolRunner::Cancel(RequestId id) {
  queue_->Cancel(id, heathernet::EventLoop::Now());
  Pump();
}

void PoolRunner::CancelExchange(const std::string& exchange_id) {
  std::vector<RequestId> ids;
  for (const auto& [id, pending] : requests_) {
    if (pending.request.exchange_id == exchange_id) {
      ids.push_back(id);
    }
  }
  for (const RequestId id : ids) {
    Cancel(id);
  }
}

heatherlever::PoolSummary PoolRunner::Summary() const {
  return queue_->Summary();
}

void PoolRunner::Pump() {
  // A finished request's callback may submit another one; the outer loop picks
  // its actions up.
  if (pumping_) {
    return;
  }
  pumping_ = true;
  for (auto actions = queue_->TakeActions(); !actions.empty();
       actions = queue_->TakeActions()) {
    for (const heatherlever::PoolAction& action : actions) {
      std::visit([this](const auto& one) { Run(one); }, action);
    }
  }
  pumping_ = false;
  SetTimer();
}

void PoolRunner::Run(const heatherlever::DispatchAction& action) {
  Pending& pending = requests_.at(action.id);
  const Instant now = heathernet::EventLoop::Now();
  if (pending.gate && !pending.gate()) {
    queue_->Cancel(action.id, now);
    queue_->AttemptDone(action.attempt, AttemptResult::kNotSent, now);
    return;
  }
  // A further attempt follows only one that was certainly not run, and belongs
  // to the same recorded intent.
  pending.gate = nullptr;
  const heatherlever::BackendSpec& backend = backends_.at(action.backend);
  BackendCall call;
  call.address = backend.address;
  call.port = backend.port;
  call.kind = pending.request.kind;
  call.exchange_id =
      host_ + "-" + name_.Text() + "-" + std::to_string(action.attempt);
  call.key = pending.request.key;
  call.remaining = action.deadline - now;
  call.idempotent = pending.idempotent;
  call.content_type = pending.request.content_type;
  call.body = pending.request.body;
  attempts_[action.attempt] = {action.id, action.backend, call.exchange_id,
                               nullptr};
  client_.Send(std::move(call), [self = shared_from_this(),
                                 id = action.attempt](BackendReply reply) {
    self->loop_.Post(
        [self, id, reply = std::move(reply)] { self->OnReply(id, reply); });
  });
}

void PoolRunner::Run(const heatherlever::CancelAttemptAction& action) {
  const auto attempt = attempts_.find(action.attempt);
  if (attempt == attempts_.end()) {
    return;
  }
  const heatherlever::BackendSpec& backend = backends_.at(action.backend);
  BackendCall call;
  call.address = backend.address;
  call.port = backend.port;
  call.exchange_id = attempt->second.exchange_id;
  client_.Cancel(std::move(call), [self = shared_from_this(),
                                   id = action.attempt](BackendReply reply) {
    if (reply.result != AttemptResult::kCancelled) {
      return;
    }
    self->loop_.Post(
        [self, id, reply = std::move(reply)] { self->OnReply(id, reply); });
  });
}

void PoolRunner::Run(const heatherlever::FinishAction& action) {
  const auto found = requests_.find(action.id);
  WorkAnswer answer;
  answer.outcome = action.outcome;
  answer.reason = FinishReasonName(action.reason);
  answer.retry_after = action.retry_after;
  const auto attempt = attempts_.find(action.attempt);
  if (action.outcome == RequestOutcome::kDone && attempt != attempts_.end()) {
    answer.backend = attempt->second.backend;
    answer.content_type = attempt->second.reply->content_type;
    answer.body = attempt->second.reply->body;
  }
  const Done done = std::move(found->second.done);
  requests_.erase(found);
  done(answer);
}

void PoolRunner::OnReply(AttemptId id, const BackendReply& reply) {
  const auto attempt = attempts_.find(id);
  if (attempt == attempts_.end()) {
    return;
  }
  attempt->second.reply = std::make_shared<BackendReply>(reply);
  queue_->AttemptDone(id, reply.result, heathernet::EventLoop::Now());
  Pump();
  attempts_.erase(id);
}

void PoolRunner::SetTimer() {
  timer_.Cancel();
  const auto wakeup = queue_->NextWakeup();
  if (!wakeup) {
    return;
  }
  const Instant now = heathernet::EventLoop::Now();
  const auto delay = std::max(heatherlever::Duration(0), *wakeup - now);
  timer_ = loop_.After(delay, [self = shared_from_this()] {
    self->queue_->Tick(heathernet::EventLoop::Now());
    self->Pump();
  });
}

}  // namespace heather_entry
