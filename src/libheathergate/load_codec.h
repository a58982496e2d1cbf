#ifndef LIBHEATHERGATE_LOAD_CODEC_H_
#define LIBHEATHERGATE_LOAD_CODEC_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "heatherlever/instant.h"
#include "heathersteer/load_board.h"

namespace heathergate {

/// One datagram of load reports.
struct LoadDatagram {
  /// Whether it goes to the host that the sender follows, or to a follower.
  bool to_leader = false;
  heathersteer::LoadBoard::Reports reports;
};

/// CBOR; the reports' times travel as ages at `now`.
std::vector<std::uint8_t> EncodeLoads(const LoadDatagram& datagram,
                                      heatherlever::Instant now);

/// Nothing if the bytes are no such datagram. Reports that are too old to count
/// are left out.
std::optional<LoadDatagram> DecodeLoads(std::span<const std::uint8_t> bytes,
                                        heatherlever::Instant now);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_LOAD_CODEC_H_
