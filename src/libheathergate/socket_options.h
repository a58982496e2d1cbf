#ifndef LIBHEATHERGATE_SOCKET_OPTIONS_H_
#define LIBHEATHERGATE_SOCKET_OPTIONS_H_

#include <asio/ip/tcp.hpp>
#include <string_view>
#include <system_error>

#include "heatherlever/instant.h"

namespace heathergate {

/// Sends small writes at once and ends the connection with an error if sent
/// bytes, or keep-alive probes, stay unacknowledged for `ack_timeout`.
void ConfigureSocket(asio::ip::tcp::socket& socket,
                     heatherlever::Duration ack_timeout);

/// Whether the peer has closed the connection or sent bytes that nobody asked
/// for.
bool HasPendingInput(asio::ip::tcp::socket& socket);

/// Input that one read of a readable socket gave. It stands in a buffer that
/// all connections share, and has to be used before the next read.
struct SocketInput {
  std::string_view data;
  /// would_block if there was nothing to read after all.
  std::error_code error;
};

SocketInput ReadAvailable(asio::ip::tcp::socket& socket);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_SOCKET_OPTIONS_H_
