#ifndef LIBHEATHERGATE_SOCKET_OPTIONS_H_
#define LIBHEATHERGATE_SOCKET_OPTIONS_H_

#include <asio/ip/tcp.hpp>

#include "heatherlever/instant.h"

namespace heathergate {

/// Sends small writes at once and ends the connection with an error if sent
/// bytes, or keep-alive probes, stay unacknowledged for `ack_timeout`.
void PrepareSocket(asio::ip::tcp::socket& socket,
                   heatherlever::Duration ack_timeout);

/// Whether the peer has closed the connection or sent bytes that nobody asked
/// for.
bool HasPendingInput(asio::ip::tcp::socket& socket);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_SOCKET_OPTIONS_H_
