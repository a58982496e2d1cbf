#ifndef HEATHER_SIMULATE_SIMULATED_SERVER_H_
#define HEATHER_SIMULATE_SIMULATED_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "heather-simulate/load_pattern.h"
#include "heatherlever/instant.h"
#include "heathersteer/attempt_policy.h"
#include "heathersteer/backend_server.h"

namespace heather_simulate {

class EventQueue;

/// Outcome of a request at a server, with the load that the server reports.
struct ServerResponse {
  heathersteer::AttemptOutcome outcome =
      heathersteer::AttemptOutcome::kAnswered;
  int running = 0;
  int waiting = 0;
};

/// A request to a server.
struct ServerJob {
  std::string object;
  heatherlever::Duration work{0};
  std::function<void(const ServerResponse&)> done;
};

/// A backend server in virtual time with slots, a bounded queue, and a cache of
/// recently handled objects.
class SimulatedServer {
 public:
  SimulatedServer(EventQueue& events,
                  const PatternService& service,
                  heathersteer::BackendServer record)
      : events_(events), service_(service), record_(std::move(record)) {}

  /// Accepts or rejects a request and reports its outcome to `job.done`, which
  /// may be called before the return. Returns a job id for Cancel().
  std::uint64_t Submit(ServerJob job);

  /// Drops a request because the host has closed the connection; `job.done` is
  /// not called.
  void Cancel(std::uint64_t job_id);

  /// Stops without notice. Running and queued requests end as kBroken, and the
  /// cache of warm objects is lost.
  void Stop();

  /// Starts a new incarnation of the server, in a cold start if `cold`.
  void Start(bool cold);

  bool alive() const { return alive_; }
  const heathersteer::BackendServer& record() const { return record_; }

  /// Times at which requests arrived during the cold start.
  const std::vector<heatherlever::Instant>& cold_arrivals() const {
    return cold_arrivals_;
  }

 private:
  void RunNext();
  void Finish(std::uint64_t job_id);
  bool IsWarm(const std::string& object) const;
  void MarkWarm(const std::string& object);
  ServerResponse MakeResponse(heathersteer::AttemptOutcome outcome) const;

  EventQueue& events_;
  const PatternService& service_;
  heathersteer::BackendServer record_;
  bool alive_ = true;
  std::uint64_t next_job_id_ = 1;
  std::map<std::uint64_t, ServerJob> running_;
  std::deque<std::pair<std::uint64_t, ServerJob>> queue_;
  // Most recently handled object first.
  std::list<std::string> warm_objects_;
  std::vector<heatherlever::Instant> cold_arrivals_;
};

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_SIMULATED_SERVER_H_
