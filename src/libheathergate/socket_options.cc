#include "libheathergate/socket_options.h"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <asio/buffer.hpp>
#include <cerrno>
#include <cstddef>
#include <cstdint>

namespace heathergate {
namespace {

constexpr std::size_t kReadBufferBytes = 32768;
// Offset of the flags in a TCP header.
constexpr unsigned kTcpFlagsOffset = 13;

}  // namespace

void OpenClientSocket(asio::ip::tcp::socket& socket,
                      const asio::ip::tcp::endpoint& peer,
                      std::error_code& error) {
  socket.open(peer.protocol(), error);
  if (!error) {
    std::error_code ignored;  // NOLINT: the socket works without the option.
    socket.set_option(asio::ip::tcp::socket::reuse_address(true), ignored);
  }
}

bool ConnectedToItself(const asio::ip::tcp::socket& socket) {
  std::error_code local_error;
  std::error_code remote_error;
  const auto local = socket.local_endpoint(local_error);
  const auto remote = socket.remote_endpoint(remote_error);
  return !local_error && !remote_error && local == remote;
}

void ConfigureSocket(asio::ip::tcp::socket& socket,
                     heatherlever::Duration ack_timeout) {
  std::error_code ignored;  // NOLINT: the socket works without the options.
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  SetAckTimeout(socket, ack_timeout);
}

void SetAckTimeout(asio::ip::tcp::socket& socket,
                   heatherlever::Duration ack_timeout) {
  const auto ms = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(ack_timeout)
          .count());
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
             sizeof(ms));
}

void ResetOnClose(asio::ip::tcp::socket& socket) {
  const linger none{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &none,
             sizeof(none));
}

bool HasPendingInput(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t received =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool EndedByPeer(asio::ip::tcp::socket& socket) {
  // POLLERR and POLLHUP are reported without being requested.
  pollfd entry{.fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0};
  return poll(&entry, 1, 0) > 0;
}

bool HasFailed(asio::ip::tcp::socket& socket) {
  // POLLERR and POLLHUP are reported without being requested.
  pollfd entry{.fd = socket.native_handle(), .events = 0, .revents = 0};
  return poll(&entry, 1, 0) > 0;
}

void DropNewConnections(asio::ip::tcp::acceptor& acceptor) {
  std::array<sock_filter, 4> program = {{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kTcpFlagsOffset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
  }};
  const sock_fprog filter{.len = program.size(), .filter = program.data()};
  // Without the filter, new connections go on being established.
  setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter,
             sizeof(filter));
}

std::optional<heatherlever::Duration> TimeSinceInput(
    asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  constexpr std::size_t kMinSize = offsetof(tcp_info, tcpi_last_data_recv) +
                                   sizeof(info.tcpi_last_data_recv);
  if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) !=
          0 ||
      size < kMinSize) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

SocketInput ReadAvailable(asio::ip::tcp::socket& socket) {
  static std::array<char, kReadBufferBytes> buffer;
  SocketInput input;
  const std::size_t size = socket.read_some(asio::buffer(buffer), input.error);
  input.data = {buffer.data(), size};
  return input;
}

}  // namespace heathergate
