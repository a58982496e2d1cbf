#ifndef LIBHEATHERGATE_LOAD_CODEC_H_
#define LIBHEATHERGATE_LOAD_CODEC_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "heathersteer/load_board.h"

namespace heathergate {

/// One datagram of load reports (CBOR).
std::vector<std::uint8_t> EncodeLoads(
    const heathersteer::LoadBoard::Reports& reports);

/// Nothing if the bytes are no such datagram.
std::optional<heathersteer::LoadBoard::Reports> DecodeLoads(
    std::span<const std::uint8_t> bytes);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_LOAD_CODEC_H_
