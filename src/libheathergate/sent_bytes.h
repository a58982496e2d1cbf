#ifndef LIBHEATHERGATE_SENT_BYTES_H_
#define LIBHEATHERGATE_SENT_BYTES_H_

#include <cstdint>
#include <optional>

namespace heathergate {

/// Positions in the stream of bytes that a TCP socket has sent.
struct SentBytes {
  std::uint64_t acknowledged = 0;
  /// End of the bytes that were written to the socket.
  std::uint64_t written = 0;
  /// Whether bytes are on their way that the peer has not acknowledged.
  bool in_flight = false;

  /// Empty if the system does not tell.
  static std::optional<SentBytes> Of(int socket);
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_SENT_BYTES_H_
