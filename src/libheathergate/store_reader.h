#ifndef LIBHEATHERGATE_STORE_READER_H_
#define LIBHEATHERGATE_STORE_READER_H_

#include <absl/status/status.h>

#include <functional>

#include "heathergate/timer.h"
#include "heatherlever/instant.h"
#include "heathersteer/backend_server.h"
#include "heathersteer/listing.h"
#include "heathersteer/operator_state.h"
#include "heathersteer/propagation_timing.h"
#include "heathersteer/store_read_backoff.h"
#include "heathersteer/store_version.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class FleetSource;

/// Callbacks of a StoreReader: they take what it reads and decide whether to
/// go on.
struct StoreReaderCallbacks {
  /// Whether this host should go on reading.
  std::function<bool()> should_read;
  /// Whether this host reads the store for its domain.
  std::function<bool()> is_domain_reader;
  /// Time until servers that have been missing since an outage of the store may
  /// be dropped; 0 at other times.
  std::function<heatherlever::Duration()> reregistration_time_left;
  /// Called with the list of servers as of `requested_at`, the time of the
  /// read.
  std::function<void(const heathersteer::Listing<heathersteer::BackendServer>&,
                     heatherlever::Instant requested_at)>
      on_servers;
  std::function<void(const heathersteer::OperatorState&)> on_operator_state;
  std::function<void(const absl::Status&)> on_servers_failed;
};

/// Reads the backend servers and the operator's state from the store
/// repeatedly, as long as StoreReaderCallbacks::should_read is true.
class StoreReader {
 public:
  StoreReader(heathernet::EventLoop& loop,
              FleetSource& source,
              const heathersteer::PropagationTiming& timing,
              StoreReaderCallbacks callbacks);

  /// Starts the read loops that aren't running.
  void EnsureReading();

  /// Reads the servers at once, again if a read is in flight.
  void ReadNow();

 private:
  void ReadServers();
  void OnServersRead();
  void OnServersFailed(const absl::Status& status);
  heatherlever::Duration ServersReadDelay() const;
  void ReadOperator();

  FleetSource& source_;
  const heathersteer::PropagationTiming timing_;
  StoreReaderCallbacks callbacks_;
  Timer servers_timer_;
  Timer operator_timer_;
  heathersteer::StoreReadBackoff backoff_;
  bool reading_servers_ = false;
  bool reading_operator_ = false;
  // Whether a read of the servers is in flight; reading_servers_ also covers
  // the delay until the next one.
  bool servers_read_in_flight_ = false;
  // Whether to read again when the read in flight has ended.
  bool read_again_ = false;
  // Version of the operator's state at the last read.
  heathersteer::StoreVersion operator_version_;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_STORE_READER_H_
