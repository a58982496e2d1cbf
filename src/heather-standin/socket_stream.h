#ifndef HEATHER_STANDIN_SOCKET_STREAM_H_
#define HEATHER_STANDIN_SOCKET_STREAM_H_

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

namespace heather_standin {

/// One accepted connection, as httplib reads and writes it, with the means to
/// break it on purpose.
class SocketStream : public httplib::Stream {
 public:
  explicit SocketStream(socket_t socket);

  /// Waits until the peer sends something or closes; false after `timeout_ms`.
  bool WaitForInput(int timeout_ms) const;

  /// Nothing more is written; the connection is to be closed.
  void Drop() { bytes_until_drop_ = 0; }

  /// Drops the connection once `bytes` more bytes were written.
  void DropAfter(std::size_t bytes) { bytes_until_drop_ = bytes; }

  bool dropped() const { return bytes_until_drop_ == 0; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  static constexpr std::size_t kNeverDropped = static_cast<std::size_t>(-1);

  socket_t socket_;
  std::size_t bytes_until_drop_ = kNeverDropped;
  std::array<char, 4096> buffer_;
  std::size_t buffer_begin_ = 0;
  std::size_t buffer_end_ = 0;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_SOCKET_STREAM_H_
