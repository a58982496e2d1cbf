#ifndef HEATHER_STANDIN_PLATFORM_SERVER_H_
#define HEATHER_STANDIN_PLATFORM_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "heather-standin/counted_fault.h"
#include "heather-standin/host_list.h"
#include "heather-standin/object_store.h"
#include "heather-standin/standin_server.h"
#include "heather-standin/table_store.h"

namespace heather_standin {

/// Stand-in of the platform: table, object store and host list on one port,
/// with faults. `POST /standin/faults` takes any of `down`, `delay_ms`,
/// `lose_next_answers` and `list_lag_ms`; `GET /standin/stats` shows counts.
class PlatformServer {
 public:
  PlatformServer();
  ~PlatformServer();

  /// Serves until Stop; returns the port. Throws StandinError.
  std::uint16_t Start(const std::string& address, std::uint16_t port);
  void Stop();

  /// Applies the fields that `faults` has. Throws StandinError for an unknown
  /// field or a value of another type.
  void SetFaults(const nlohmann::json& faults);

  /// Reads, writes, writes whose answer was lost, and the rates since start.
  nlohmann::json Statistics() const;

 private:
  using Handler = void (PlatformServer::*)(const httplib::Request&,
                                           httplib::Response&);

  httplib::Server::Handler Guarded(Handler handler);
  httplib::Server::HandlerResponse BeforeRequest(const httplib::Request&);
  void AddRoutes();
  void AddStandinRoutes();
  void HandleRange(const httplib::Request&, httplib::Response&);
  void HandleTransaction(const httplib::Request&, httplib::Response&);
  void HandleGetObject(const httplib::Request&, httplib::Response&);
  void HandlePutObject(const httplib::Request&, httplib::Response&);
  void HandleHealth(const httplib::Request&, httplib::Response&);
  void HandleRegister(const httplib::Request&, httplib::Response&);
  void HandleMaintenance(const httplib::Request&, httplib::Response&);
  void HandleDeregister(const httplib::Request&, httplib::Response&);
  void EndWrite();

  TableStore table_;
  ObjectStore objects_;
  HostList hosts_;
  std::atomic<bool> down_ = false;
  std::atomic<std::int64_t> delay_ms_ = 0;
  CountedFault lose_next_answers_;
  std::atomic<std::uint64_t> reads_ = 0;
  std::atomic<std::uint64_t> writes_ = 0;
  std::atomic<std::uint64_t> lost_answers_ = 0;
  std::chrono::steady_clock::time_point started_;
  StandinServer server_;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_PLATFORM_SERVER_H_
