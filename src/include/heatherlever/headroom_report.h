#ifndef HEATHERLEVER_HEADROOM_REPORT_H_
#define HEATHERLEVER_HEADROOM_REPORT_H_

#include <optional>

#include "heatherlever/instant.h"

namespace heatherlever {

/// What the owner of a pool tells other entry hosts about it.
struct HeadroomReport {
  /// Slots with no request.
  int free_slots = 0;
  /// Requests that wait for a slot.
  int queued = 0;
  /// Slots that the owner uses at present, at most those of the pool.
  int usable_slots = 0;
  /// Requests that the receiver of the summary may have in this pool at the
  /// same time, as HeadroomLender divides them. Nothing if the owner divides
  /// nothing; the receiver then divides free_slots by the number of senders.
  std::optional<int> granted;
  /// Time since the owner measured.
  Duration age{0};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_HEADROOM_REPORT_H_
