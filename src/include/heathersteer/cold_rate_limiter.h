#ifndef HEATHERSTEER_COLD_RATE_LIMITER_H_
#define HEATHERSTEER_COLD_RATE_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "heatherlever/instant.h"

namespace heathersteer {

class ColdRateParts;
struct BackendServer;

/// Limits this host's requests to one cold server to its part of the server's
/// rate. Requests are an equal interval apart, and an idle time earns no
/// credit, so no second holds more requests than the part.
class ColdRateLimiter {
 public:
  /// Time until a request may be sent; Duration::max() without a part.
  heatherlever::Duration TimeToSend(const ColdRateParts& parts,
                                    const BackendServer& server,
                                    double requests_per_s,
                                    heatherlever::Instant now);

  /// Records a request that is sent.
  void RecordSend(heatherlever::Instant now) { last_send_ = now; }

  /// Goes on from the limiter of the server's last incarnation.
  void Continue(const ColdRateLimiter& last) { last_send_ = last.last_send_; }

 private:
  std::optional<heatherlever::Instant> last_send_;
  // Rank of this host for the server, and the generation of the parts by which
  // it was determined.
  std::size_t rank_ = 0;
  std::optional<std::uint64_t> generation_;
};

}  // namespace heathersteer

#endif  // HEATHERSTEER_COLD_RATE_LIMITER_H_
