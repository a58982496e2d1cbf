#include "heathergate/load_exchange.h"

#include <spdlog/spdlog.h>

#include <asio/ip/udp.hpp>
#include <utility>

#include "heathernet/event_loop.h"
#include "libheathergate/load_codec.h"
#include "libheathernet/event_loop_impl.h"

namespace heathergate {
namespace {

using asio::ip::udp;
using heatherlever::Duration;
using heatherlever::Instant;
using heathernet::EventLoop;

// Pause between two datagrams to one host; some part of a service time.
constexpr Duration kPause = std::chrono::milliseconds(100);
// Longest silence towards the followed host, which forgets silent followers.
constexpr Duration kKeepAlive = std::chrono::seconds(1);
// Silence after which a follower gets no more; some lost datagrams long.
constexpr Duration kForget = std::chrono::seconds(4);
// Reports in one datagram, so that it fits into an Ethernet frame.
constexpr std::size_t kMostReports = 64;
constexpr std::size_t kMostBytes = 1472;

}  // namespace

// The socket, and the hosts at the other ends.
class LoadExchange::Socket {
 public:
  explicit Socket(EventLoop& loop) : socket(loop.impl()->context) {}

  // Whether the port could be had.
  bool Open(const std::string& address, std::uint16_t port) {
    std::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (!error) {
      socket.open(udp::v4(), error);
    }
    if (!error) {
      socket.bind({ip, port}, error);
    }
    if (!error) {
      socket.non_blocking(true, error);
    }
    if (error) {
      spdlog::warn("loads are not exchanged: no UDP port {}:{}: {}", address,
                   port, error.message());
    }
    return !error;
  }

  void Send(const LoadDatagram& datagram,
            const udp::endpoint& to,
            Instant now) {
    const auto bytes = EncodeLoads(datagram, now);
    // A datagram that does not leave is as good as a lost one.
    std::error_code ignored;  // NOLINT
    socket.send_to(asio::buffer(bytes), to, 0, ignored);
  }

  udp::socket socket;
  std::array<std::uint8_t, kMostBytes> buffer{};
  udp::endpoint sender;
  std::optional<udp::endpoint> leader;
  // When each follower was heard last.
  std::map<udp::endpoint, Instant> followers;
};

LoadExchange::LoadExchange(EventLoop& loop,
                           const std::string& address,
                           std::uint16_t port,
                           News news)
    : news_(std::move(news)),
      socket_(std::make_unique<Socket>(loop)),
      tick_timer_(loop) {
  if (socket_->Open(address, port)) {
    Receive();
    Tick();
  }
}

LoadExchange::~LoadExchange() = default;

void LoadExchange::Note(const std::string& server_id, int requests) {
  if (!socket_->socket.is_open()) {
    return;
  }
  const heathersteer::LoadBoard::Report report{requests, EventLoop::Now()};
  if (socket_->leader) {
    to_leader_.Note(server_id, report);
  }
  if (!socket_->followers.empty()) {
    to_followers_.Note(server_id, report);
  }
}

void LoadExchange::Follow(const std::string& address, std::uint16_t port) {
  std::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  if (error) {
    spdlog::warn("loads are not told to '{}': not an IP address", address);
    FollowNone();
    return;
  }
  socket_->leader = udp::endpoint(ip, port);
}

void LoadExchange::FollowNone() {
  socket_->leader.reset();
}

void LoadExchange::Receive() {
  socket_->socket.async_receive_from(
      asio::buffer(socket_->buffer), socket_->sender,
      [this](std::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        // Errors come from datagrams that found no listener.
        if (!error) {
          OnDatagram(size);
        }
        Receive();
      });
}

void LoadExchange::OnDatagram(std::size_t size) {
  const Instant now = EventLoop::Now();
  const auto datagram =
      DecodeLoads(std::span(socket_->buffer.data(), size), now);
  if (!datagram) {
    spdlog::warn("datagram of {} bytes from {} holds no loads", size,
                 socket_->sender.address().to_string());
    return;
  }
  if (datagram->to_leader) {
    TakeFromFollower(datagram->reports, now);
  } else if (socket_->sender != socket_->leader) {
    // An earlier leader goes on for a while; its reports come from this one
    // too.
    return;
  }
  for (const auto& [server, report] : datagram->reports) {
    news_(server, report);
    to_followers_.Note(server, report);
  }
}

void LoadExchange::TakeFromFollower(
    const heathersteer::LoadBoard::Reports& reports,
    Instant now) {
  socket_->followers[socket_->sender] = now;
  if (socket_->leader) {
    for (const auto& [server, report] : reports) {
      to_leader_.Note(server, report);
    }
  }
}

void LoadExchange::Tick() {
  const Instant now = EventLoop::Now();
  TellLeader(now);
  TellFollowers(now);
  tick_timer_.Start(kPause, [this] { Tick(); });
}

void LoadExchange::TellLeader(Instant now) {
  if (!socket_->leader) {
    return;
  }
  const LoadDatagram datagram{true, to_leader_.Take(kMostReports)};
  if (!datagram.reports.empty() || now - told_leader_at_ >= kKeepAlive) {
    told_leader_at_ = now;
    socket_->Send(datagram, *socket_->leader, now);
  }
}

void LoadExchange::TellFollowers(Instant now) {
  std::erase_if(socket_->followers, [&](const auto& follower) {
    return now - follower.second > kForget;
  });
  const LoadDatagram datagram{false, to_followers_.Take(kMostReports)};
  if (datagram.reports.empty()) {
    return;
  }
  for (const auto& [follower, heard] : socket_->followers) {
    socket_->Send(datagram, follower, now);
  }
}

}  // namespace heathergate
