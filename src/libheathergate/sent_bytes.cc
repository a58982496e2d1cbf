#include "libheathergate/sent_bytes.h"

// Not <netinet/tcp.h>, whose tcp_info ends before tcpi_bytes_acked.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstddef>

namespace heathergate {

std::optional<SentBytes> SentBytes::Of(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  int unacknowledged = 0;
  constexpr std::size_t kMinSize =
      offsetof(tcp_info, tcpi_bytes_acked) + sizeof(info.tcpi_bytes_acked);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      size < kMinSize || ioctl(socket, SIOCOUTQ, &unacknowledged) != 0) {
    return std::nullopt;
  }
  const std::uint64_t acknowledged = info.tcpi_bytes_acked;
  return SentBytes{
      .acknowledged = acknowledged,
      .written = acknowledged + static_cast<std::uint64_t>(unacknowledged),
      .in_flight = info.tcpi_unacked > 0};
}

}  // namespace heathergate
