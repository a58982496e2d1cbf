#ifndef HEATHERLEVER_HEADROOM_REPORT_H_
#define HEATHERLEVER_HEADROOM_REPORT_H_

#include <optional>

#include "heatherlever/instant.h"

namespace heatherlever {

/// The state of a pool that its owner reports to other entry hosts.
struct HeadroomReport {
  /// Slots with no request.
  int free_slots = 0;
  /// Requests that wait for a slot.
  int queued = 0;
  /// Slots that the owner may use at present, at most those of the pool.
  int usable_slots = 0;
  /// Requests that the receiver of the report may have in this pool at the
  /// same time, as granted by HeadroomAllocator. Nullopt if the owner grants no
  /// limits; the receiver then divides free_slots by the number of senders.
  std::optional<int> granted;
  /// Time since the owner measured.
  Duration age{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_HEADROOM_REPORT_H_
