#ifndef HEATHERLEVER_HEADROOM_ALLOCATOR_H_
#define HEATHERLEVER_HEADROOM_ALLOCATOR_H_

#include <deque>
#include <map>
#include <string>

#include "heatherlever/instant.h"
#include "heatherlever/sender_use.h"

namespace heatherlever {

/// Divides a pool's free slots among the hosts of other regions. Runs at the
/// pool's owner. Each host is granted a limit on its concurrent requests in the
/// pool (HeadroomReport::granted). A granted limit counts until it expires, so
/// the limits that hosts may be using never exceed the slots that were free. A
/// lower limit is granted at once, a higher one when others have expired.
class HeadroomAllocator {
 public:
  /// `limit_lifetime` is the time for which a host may use a limit after it was
  /// granted: the age at which summaries become stale.
  explicit HeadroomAllocator(Duration limit_lifetime);

  /// Returns the limit of each sender. `spare` is the number of slots that are
  /// free and not reserved for the pool's home traffic. Limits of hosts that
  /// are not in `senders` count until they expire.
  std::map<std::string, int> Divide(
      int spare,
      const std::map<std::string, SenderUse>& senders,
      Instant now);

 private:
  struct Limit {
    int max_requests;
    Instant expires;
  };

  // The highest limit that a sender may be using.
  int MaxUnexpiredLimit(const std::string& sender) const;
  void RemoveExpired(Instant now);

  Duration limit_lifetime_;
  // By sender, in the order of their expiry.
  std::map<std::string, std::deque<Limit>> granted_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_HEADROOM_ALLOCATOR_H_
