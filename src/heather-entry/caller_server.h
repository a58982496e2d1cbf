#ifndef HEATHER_ENTRY_CALLER_SERVER_H_
#define HEATHER_ENTRY_CALLER_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

namespace heather_entry {

class CallerService;
struct EntrySettings;

/// The HTTP interface towards callers; docs/CALLERS.md describes it.
class CallerServer {
 public:
  /// Listens on the callers' port of `settings`. Throws std::runtime_error if
  /// that cannot be had. `service` has to outlive the server.
  CallerServer(const EntrySettings& settings, CallerService& service);

  /// Stops and waits for the requests in progress.
  ~CallerServer();

  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Takes no new connections and closes each open one after its present
  /// request.
  void StopAccepting();

  /// Port listened on.
  std::uint16_t port() const;

  /// Requests being served.
  int in_progress() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_CALLER_SERVER_H_
