#ifndef LIBHEATHERGATE_STORE_READER_H_
#define LIBHEATHERGATE_STORE_READER_H_

#include <absl/status/status.h>

#include <functional>
#include <vector>

#include "heathergate/timer.h"
#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/operator_state.h"
#include "heathersteer/store_read_backoff.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class FleetSource;

/// Who uses what a StoreReader reads, and tells it whether to go on.
struct StoreReaderCallbacks {
  /// Whether this host is to read on.
  std::function<bool()> should_read;
  /// Whether no other host reads for this one.
  std::function<bool()> is_domain_reader;
  /// Time until servers that are missing since an outage may be dropped; 0 at
  /// other times.
  std::function<heatherlever::Duration()> return_time_left;
  /// The list as of `asked_at`.
  std::function<void(const std::vector<heathersteer::BackendServer>&,
                     heatherlever::Instant asked_at)>
      on_servers;
  std::function<void(const heathersteer::OperatorState&)> on_operator_state;
  std::function<void(const absl::Status&)> on_servers_failed;
};

/// Reads the backend servers and the operator's state from the store, again and
/// again while its user wants it.
class StoreReader {
 public:
  /// `pause`: between two reads of the servers.
  StoreReader(heathernet::EventLoop& loop,
              FleetSource& source,
              heatherlever::Duration pause,
              StoreReaderCallbacks user);

  /// Starts reading what is not being read.
  void EnsureReading();

 private:
  void ReadServers();
  void OnServersRead();
  void OnServersFailed(const absl::Status& status);
  heatherlever::Duration ServersReadDelay() const;
  void ReadOperator();

  FleetSource& source_;
  const heatherlever::Duration read_interval_;
  StoreReaderCallbacks callbacks_;
  Timer servers_timer_;
  Timer operator_timer_;
  heathersteer::StoreReadBackoff backoff_;
  bool reading_servers_ = false;
  bool reading_operator_ = false;
  // Whether a read of the servers is under way.
  bool servers_read_in_flight_ = false;
  // Version of the operator's state that was read last.
  std::uint64_t operator_version_ = 0;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_STORE_READER_H_
