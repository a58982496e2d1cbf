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

/// How a server ended a request, with the load that it reports.
struct ServerResponse {
  heathersteer::AttemptOutcome outcome =
      heathersteer::AttemptOutcome::kAnswered;
  int running = 0;
  int waiting = 0;
};

/// A request at a server.
struct ServerJob {
  std::string object;
  heatherlever::Duration work{0};
  std::function<void(const ServerResponse&)> done;
};

/// A backend server in virtual time: slots, a bounded queue, and a memory of
/// the objects that it handled last.
class SimulatedServer {
 public:
  SimulatedServer(EventQueue& events,
                  const PatternService& service,
                  heathersteer::BackendServer record)
      : events_(events), service_(service), record_(std::move(record)) {}

  /// A request arrives; its end is reported by `job.done`. Returns a number
  /// for Cancel().
  std::uint64_t Submit(ServerJob job);

  /// The caller has closed the connection: the request is dropped, and its end
  /// is not reported.
  void Cancel(std::uint64_t number);

  /// Stops without a word; what it holds is lost.
  void Stop();

  /// Starts anew with an empty memory. `cold` tells whether requests come at
  /// once.
  void Start(bool cold);

  bool alive() const { return alive_; }
  const heathersteer::BackendServer& record() const { return record_; }

  /// Arrivals while it was cold.
  const std::vector<heatherlever::Instant>& cold_arrivals() const {
    return cold_arrivals_;
  }

 private:
  void RunNext();
  void Finish(std::uint64_t number);
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
  // Most recently handled first.
  std::list<std::string> warm_objects_;
  std::vector<heatherlever::Instant> cold_arrivals_;
};

}  // namespace heather_simulate

#endif  // HEATHER_SIMULATE_SIMULATED_SERVER_H_
