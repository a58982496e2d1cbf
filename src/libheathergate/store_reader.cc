#include "libheathergate/store_reader.h"

#include <absl/status/statusor.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "heathergate/fleet_source.h"
#include "heathernet/event_loop.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathernet::EventLoop;
using heathersteer::BackendServer;
using heathersteer::Listing;
using heathersteer::OperatorState;

// Delay before the next watch call after a change of the operator's state, so
// that a burst of changes causes few calls.
constexpr Duration kOperatorWatchDelay = std::chrono::milliseconds(150);
// Allowance for late timers in the delay before a planned read.
constexpr Duration kTimerSlack = std::chrono::milliseconds(5);

}  // namespace

StoreReader::StoreReader(EventLoop& loop,
                         FleetSource& source,
                         const heathersteer::PropagationTiming& timing,
                         StoreReaderCallbacks callbacks)
    : source_(source),
      timing_(timing),
      callbacks_(std::move(callbacks)),
      servers_timer_(loop),
      operator_timer_(loop) {}

void StoreReader::EnsureReading() {
  if (!reading_servers_) {
    reading_servers_ = true;
    ReadServers();
  }
  if (!reading_operator_) {
    reading_operator_ = true;
    ReadOperator();
  }
}

void StoreReader::ReadNow() {
  if (!reading_servers_) {
    EnsureReading();
  } else if (servers_read_in_flight_) {
    read_again_ = true;
  } else {
    servers_timer_.Cancel();
    ReadServers();
  }
}

void StoreReader::ReadServers() {
  servers_read_in_flight_ = true;
  const Instant requested_at = EventLoop::Now();
  source_.ReadServers([this, requested_at](
                          absl::StatusOr<Listing<BackendServer>> servers) {
    servers_read_in_flight_ = false;
    if (servers.ok()) {
      callbacks_.on_servers(*servers, requested_at);
      OnServersRead();
    } else {
      OnServersFailed(servers.status());
    }
    const Duration delay =
        std::exchange(read_again_, false) ? Duration(0) : ServersReadDelay();
    servers_timer_.Start(delay, [this] {
      reading_servers_ = callbacks_.should_read();
      if (reading_servers_) {
        ReadServers();
      }
    });
  });
}

void StoreReader::OnServersRead() {
  if (backoff_.failed()) {
    backoff_.Succeeded();
    source_.RestartWatch();
  }
}

void StoreReader::OnServersFailed(const absl::Status& status) {
  backoff_.Failed();
  callbacks_.on_servers_failed(status);
}

Duration StoreReader::ServersReadDelay() const {
  if (backoff_.failed()) {
    return backoff_.RetryDelay(callbacks_.is_domain_reader());
  }
  // Read as soon as servers that didn't return after an outage may be dropped.
  const Duration left = callbacks_.reregistration_time_left();
  return left.count() > 0 ? std::min(left + kTimerSlack, timing_.read_interval)
                          : timing_.read_interval;
}

void StoreReader::ReadOperator() {
  source_.WatchOperatorState(
      timing_.watch_timeout, [this](absl::StatusOr<OperatorState> state) {
        Duration delay{0};
        if (state.ok()) {
          const bool changed = state->version != operator_version_;
          operator_version_ = state->version;
          callbacks_.on_operator_state(*state);
          delay = changed ? kOperatorWatchDelay : Duration(0);
          if (backoff_.failed() && reading_servers_ &&
              !servers_read_in_flight_) {
            // The store has recovered, so the servers are read without waiting
            // for their retry.
            servers_timer_.Cancel();
            ReadServers();
          }
        } else {
          spdlog::warn("operator's state not read, version {} stays: {}",
                       operator_version_.number, state.status().ToString());
          delay = backoff_.RetryDelay(callbacks_.is_domain_reader());
        }
        operator_timer_.Start(delay, [this] {
          reading_operator_ = callbacks_.should_read();
          if (reading_operator_) {
            ReadOperator();
          }
        });
      });
}

}  // namespace heathergate
