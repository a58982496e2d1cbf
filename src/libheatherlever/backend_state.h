#ifndef HEATHERLEVER_BACKEND_STATE_H_
#define HEATHERLEVER_BACKEND_STATE_H_

#include <string>
#include <utility>

#include "backend_health.h"
#include "concurrency_limit.h"
#include "heatherlever/backend_report.h"
#include "heatherlever/instant.h"

namespace heatherlever {

/// One backend server in a BackendLedger.
struct BackendState {
  BackendState(const PoolOptions& options, std::string server, int slot_count)
      : name(std::move(server)),
        slots(slot_count),
        limit(options, slot_count),
        health(options) {}

  std::string name;
  int slots;
  /// Whether the configuration lists it.
  bool listed = true;
  bool draining = false;
  /// Attempts of this owner that hold a slot.
  int in_flight = 0;
  /// Slots that requests of a previous owner hold, until `inherited_until`.
  int inherited_in_flight = 0;
  Instant inherited_until{0};
  ConcurrencyLimit limit;
  BackendHealth health;
  /// Last load report.
  BackendReport report;

  /// Whether it takes new work.
  bool active() const { return listed && !draining && !health.ejected(); }
  /// Slots that may be used; 0 if it takes no new work.
  int usable() const {
    if (!active()) {
      return 0;
    }
    return health.on_probation() ? 1 : limit.limit();
  }
  /// Whether the work may use a free slot of the server.
  bool Accepts(bool idempotent) const {
    return idempotent || !health.idempotent_only();
  }
  int taken() const { return in_flight + inherited_in_flight; }
  /// Slots available to new requests.
  int free() const { return usable() > taken() ? usable() - taken() : 0; }
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_BACKEND_STATE_H_
