#ifndef LIBHEATHERGATE_SOCKET_OPTIONS_H_
#define LIBHEATHERGATE_SOCKET_OPTIONS_H_

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string_view>
#include <system_error>

#include "heatherlever/instant.h"

namespace heathergate {

/// Opens a socket for an outgoing connection. The port that the kernel chooses
/// for it stays available to servers of this host.
void OpenClientSocket(asio::ip::tcp::socket& socket,
                      const asio::ip::tcp::endpoint& peer,
                      std::error_code& error);

/// Whether the connection leads from a port to itself. The kernel establishes
/// one if nothing listens at a port and it chooses the same one for the
/// outgoing connection.
bool ConnectedToItself(const asio::ip::tcp::socket& socket);

/// Makes the socket non-blocking, disables Nagle's algorithm, and lets the
/// connection fail if sent bytes or keep-alive probes stay unacknowledged for
/// `ack_timeout`.
void ConfigureSocket(asio::ip::tcp::socket& socket,
                     heatherlever::Duration ack_timeout);

/// Changes the `ack_timeout` of ConfigureSocket().
void SetAckTimeout(asio::ip::tcp::socket& socket,
                   heatherlever::Duration ack_timeout);

/// Makes closing the socket reset the connection and drop what was not sent or
/// acknowledged yet.
void ResetOnClose(asio::ip::tcp::socket& socket);

/// Whether an idle connection has been closed by the peer or has unexpected
/// input.
bool HasPendingInput(asio::ip::tcp::socket& socket);

/// Whether the peer has closed or reset the connection, even if there is input
/// that was sent before and is not read yet.
bool EndedByPeer(asio::ip::tcp::socket& socket);

/// Whether the connection has failed or was reset.
bool HasFailed(asio::ip::tcp::socket& socket);

/// Lets the kernel drop requests for new connections to a listening socket;
/// handshakes that have begun still end. Peers ask again a second later.
void DropNewConnections(asio::ip::tcp::acceptor& acceptor);

/// Time since the last bytes have arrived from the peer, whether they were read
/// or not; std::nullopt if the kernel doesn't tell.
std::optional<heatherlever::Duration> TimeSinceInput(
    asio::ip::tcp::socket& socket);

/// Result of one read. `data` points into a buffer that all connections share
/// and is valid until the next read.
struct SocketInput {
  std::string_view data;
  /// would_block if there was nothing to read.
  std::error_code error;
};

SocketInput ReadAvailable(asio::ip::tcp::socket& socket);

}  // namespace heathergate

#endif  // LIBHEATHERGATE_SOCKET_OPTIONS_H_
