#ifndef HEATHER_STANDIN_BACKEND_SERVER_H_
#define HEATHER_STANDIN_BACKEND_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "heather-standin/backend_options.h"
#include "heather-standin/counted_fault.h"
#include "heather-standin/exchange_table.h"
#include "heather-standin/standin_server.h"

namespace heather_standin {

/// Stand-in of a backend server.
///
/// `POST /work/<kind>` runs for a service time in one of the slots. Answers
/// with `X-Not-Run: true` say that the work was not and will not be run: 503
/// without a free slot, 504 for a deadline (`X-Deadline-Ms`, milliseconds left)
/// that the work does not fit in, 409 after a cancellation.
/// `DELETE /work/<exchange>` cancels and says whether the work was stopped
/// before its effect. `GET /health` and `GET /load` can lag or be wrong.
/// `POST /standin/faults` sets faults, `POST /standin/cold` makes the server
/// cold, `GET /standin/runs` and `GET /standin/stats` show counts.
class BackendServer {
 public:
  explicit BackendServer(const BackendOptions& options);
  ~BackendServer();

  /// Serves until Stop; returns the port. Throws StandinError.
  std::uint16_t Start(const std::string& address, std::uint16_t port);

  /// Stops listening and waits for work in progress.
  void Stop();

  /// Applies the fields that `faults` has. Throws StandinError for an unknown
  /// field or a value of another type.
  void SetFaults(const nlohmann::json& faults);

  /// Starts the cold time again.
  void SetCold();

  /// Counts of work, slots and connections.
  nlohmann::json Statistics();

  /// Runs by idempotency key.
  nlohmann::json Runs();

 private:
  using Clock = ExchangeTable::Clock;
  using Handler = void (BackendServer::*)(const httplib::Request&,
                                          httplib::Response&);

  httplib::Server::Handler Bound(Handler handler);
  void HandleWork(const httplib::Request& request, httplib::Response& response);
  void HandleCancel(const httplib::Request&, httplib::Response&);
  void HandleHealth(const httplib::Request&, httplib::Response&);
  void HandleLoad(const httplib::Request&, httplib::Response&);
  void HandleCold(const httplib::Request&, httplib::Response&);
  void HandleRuns(const httplib::Request&, httplib::Response&);
  void RunWork(const httplib::Request& request,
               httplib::Response& response,
               const std::string& exchange);
  void Answer(const httplib::Request& request,
              httplib::Response& response,
              const std::string& exchange);
  Clock::duration DrawServiceTime();
  void CountWorkWhileLeaving();
  void SetLeaving(bool leaving);

  const BackendOptions options_;
  ExchangeTable exchanges_;
  std::mutex mutex_;
  std::mt19937_64 generator_;
  Clock::time_point cold_until_;
  Clock::time_point leaving_since_;
  std::uint64_t work_while_leaving_ = 0;
  std::int64_t last_work_after_leaving_ms_ = -1;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> unhealthy_ = false;
  std::atomic<bool> health_lie_ = false;
  std::atomic<std::int64_t> load_lag_ms_ = 0;
  std::atomic<std::int64_t> load_lie_ = -1;
  std::atomic<double> slow_factor_ = 1.0;
  CountedFault die_after_effect_;
  CountedFault truncate_next_;
  CountedFault swap_next_;
  StandinServer server_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_BACKEND_SERVER_H_
