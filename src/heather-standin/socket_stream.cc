#include "heather-standin/socket_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <cstring>

namespace heather_standin {
namespace {

constexpr int kIoTimeoutMs = 5'000;

bool Poll(socket_t socket, std::int16_t events, int timeout_ms) {
  pollfd entry{socket, events, 0};
  return ::poll(&entry, 1, timeout_ms) > 0;
}

using AddressOf = int (*)(int, sockaddr*, socklen_t*);

void ReadAddress(AddressOf address_of,
                 socket_t socket,
                 std::string& ip,
                 int& port) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (address_of(socket, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return;
  }
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(address.sin_port);
}

}  // namespace

SocketStream::SocketStream(socket_t socket) : socket_(socket) {}

bool SocketStream::WaitForInput(int timeout_ms) const {
  return buffer_begin_ < buffer_end_ || Poll(socket_, POLLIN, timeout_ms);
}

bool SocketStream::is_readable() const {
  return WaitForInput(kIoTimeoutMs);
}

bool SocketStream::is_writable() const {
  return !dropped() && Poll(socket_, POLLOUT, kIoTimeoutMs);
}

ssize_t SocketStream::read(char* data, std::size_t size) {
  if (buffer_begin_ == buffer_end_) {
    if (!is_readable()) {
      return -1;
    }
    const ssize_t received = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    if (received <= 0) {
      return received;
    }
    buffer_begin_ = 0;
    buffer_end_ = static_cast<std::size_t>(received);
  }
  const std::size_t count = std::min(size, buffer_end_ - buffer_begin_);
  std::memcpy(data, buffer_.data() + buffer_begin_, count);
  buffer_begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* data, std::size_t size) {
  const std::size_t allowed = std::min(size, bytes_until_drop_);
  if (allowed == 0 || !is_writable()) {
    return -1;
  }
  const ssize_t sent = ::send(socket_, data, allowed, MSG_NOSIGNAL);
  if (sent > 0 && bytes_until_drop_ != kNeverDropped) {
    bytes_until_drop_ -= static_cast<std::size_t>(sent);
  }
  return sent;
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ReadAddress(::getpeername, socket_, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ReadAddress(::getsockname, socket_, ip, port);
}

}  // namespace heather_standin
