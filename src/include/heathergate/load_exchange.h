#ifndef HEATHERGATE_LOAD_EXCHANGE_H_
#define HEATHERGATE_LOAD_EXCHANGE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "heathergate/timer.h"
#include "heatherlever/instant.h"
#include "heathersteer/load_board.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

/// Tells the hosts of a failure domain of the loads that backend servers report
/// with their answers: each host sees only its own share of the answers.
/// Datagrams go from every host to the one that it follows, and from there to
/// its followers, a few a second each, whatever the number of hosts. A lost one
/// only leaves a load unknown.
class LoadExchange {
 public:
  /// What a server reported to another host.
  using News =
      std::function<void(const std::string& server_id,
                         const heathersteer::LoadBoard::Report& report)>;

  /// Listens on a UDP port. Without one, which is logged, nothing is exchanged.
  LoadExchange(heathernet::EventLoop& loop,
               const std::string& address,
               std::uint16_t port,
               News news);
  ~LoadExchange();

  /// A server reported its load to this host.
  void Note(const std::string& server_id, int requests);

  /// The host to tell, by its address and port; nothing if this host follows
  /// none.
  void Follow(const std::string& address, std::uint16_t port);
  void FollowNone();

 private:
  class Socket;

  void Receive();
  void OnDatagram(std::size_t size);
  void TakeFromFollower(const heathersteer::LoadBoard::Reports& reports,
                        heatherlever::Instant now);
  void Tick();
  void TellLeader(heatherlever::Instant now);
  void TellFollowers(heatherlever::Instant now);

  News news_;
  std::unique_ptr<Socket> socket_;
  Timer tick_timer_;
  // For the followed host, and for the followers.
  heathersteer::LoadBoard to_leader_;
  heathersteer::LoadBoard to_followers_;
  heatherlever::Instant told_leader_at_{0};
};

}  // namespace heathergate

#endif  // HEATHERGATE_LOAD_EXCHANGE_H_
