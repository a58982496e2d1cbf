#ifndef HEATHER_ENTRY_POOL_RUNNER_H_
#define HEATHER_ENTRY_POOL_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "heather-entry/pool_name.h"
#include "heather-entry/work_answer.h"
#include "heather-entry/work_request.h"
#include "heatherlever/backend_spec.h"
#include "heatherlever/kind_spec.h"
#include "heatherlever/pool_action.h"
#include "heatherlever/pool_queue.h"
#include "heathernet/timer_handle.h"

namespace heathernet {
class EventLoop;
}

namespace heather_entry {

class BackendClient;
struct BackendReply;

/// Runs the requests of one pool that this entry host owns: the pool's queue
/// joined with the client of its backend servers. Used on the loop thread.
class PoolRunner : public std::enable_shared_from_this<PoolRunner> {
 public:
  using Done = std::function<void(const WorkAnswer&)>;

  /// Asked right before a request is sent; false ends it as not run.
  using DispatchGate = std::function<bool()>;

  /// `host` prefixes the exchange ids that backend servers see; it names the
  /// entry host and its incarnation.
  static std::shared_ptr<PoolRunner> Create(heathernet::EventLoop& loop,
                                            BackendClient& backends,
                                            PoolName name,
                                            std::string host,
                                            std::uint64_t seed);

  /// Replaces the pool's servers; see PoolQueue::SetBackends.
  void SetBackends(const std::vector<heatherlever::BackendSpec>& backends,
                   const std::set<std::string>& draining);

  /// Starts with a reduced allowance, as another host may have run the pool.
  void Readopt();

  /// Queues a request and returns its id. `done` runs once, maybe before this
  /// returns. A request that is not ready waits for MarkReady.
  heatherlever::RequestId Submit(const WorkRequest& request,
                                 const heatherlever::KindSpec& kind,
                                 bool ready,
                                 DispatchGate gate,
                                 Done done);

  void MarkReady(heatherlever::RequestId id);

  /// Withdraws a request; `done` still runs.
  void Cancel(heatherlever::RequestId id);

  /// Withdraws the requests of an exchange; `done` of each still runs.
  void CancelExchange(const std::string& exchange_id);

  heatherlever::PoolSummary Summary() const;

  const PoolName& name() const { return name_; }

  /// Requests that have not ended.
  std::size_t pending() const { return requests_.size(); }

 private:
  struct Pending {
    WorkRequest request;
    bool idempotent = false;
    heatherlever::Instant deadline{0};
    DispatchGate gate;
    Done done;
  };

  struct Attempt {
    heatherlever::RequestId request = 0;
    std::string backend;
    std::string exchange_id;
    std::shared_ptr<const BackendReply> reply;
  };

  PoolRunner(heathernet::EventLoop& loop,
             BackendClient& backends,
             PoolName name,
             std::string host);

  // Carries out the queue's actions until there are none, then sets the timer.
  void Pump();
  void Run(const heatherlever::DispatchAction& action);
  void Run(const heatherlever::CancelAttemptAction& action);
  void Run(const heatherlever::FinishAction& action);
  void OnReply(heatherlever::AttemptId id, const BackendReply& reply);
  void SetTimer();

  heathernet::EventLoop& loop_;
  BackendClient& client_;
  PoolName name_;
  std::string host_;
  std::unique_ptr<heatherlever::PoolQueue> queue_;
  std::map<std::string, heatherlever::BackendSpec> backends_;
  std::map<heatherlever::RequestId, Pending> requests_;
  std::map<heatherlever::AttemptId, Attempt> attempts_;
  heatherlever::RequestId next_id_ = 1;
  heathernet::TimerHandle timer_;
  bool pumping_ = false;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_POOL_RUNNER_H_
