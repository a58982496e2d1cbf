#ifndef HEATHERNET_PEER_TEST_RELAY_H_
#define HEATHERNET_PEER_TEST_RELAY_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "event_loop_impl.h"
#include "heathernet/peer_address.h"

namespace heathernet {

/// For tests: relays TCP connections to a peer, on the loop thread, and breaks
/// them on command.
class PeerTestRelay {
 public:
  PeerTestRelay(EventLoop& loop, const PeerAddress& target)
      : context_(loop.impl()->context),
        target_(asio::ip::make_address(target.ip), target.port),
        acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }
  PeerTestRelay(const PeerTestRelay&) = delete;
  PeerTestRelay& operator=(const PeerTestRelay&) = delete;

  PeerAddress address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  /// Swallows all further bytes of the connections open now; new ones work.
  void SilenceOpenConnections() {
    for (const auto& link : links_) {
      link->silent = true;
    }
  }

  /// Closes each connection once it has relayed this many bytes of answers.
  void CutAnswersAfter(std::size_t bytes) { answer_limit_ = bytes; }

  /// Closes the connections open now.
  void CloseAll() {
    for (const auto& link : links_) {
      link->Close();
    }
  }

  std::size_t connections() const { return links_.size(); }

 private:
  using Tcp = asio::ip::tcp;

  struct Link {
    explicit Link(Tcp::socket near_side, asio::io_context& context)
        : near(std::move(near_side)), far(context) {}
    void Close() {
      std::error_code ignored;
      near.close(ignored);
      far.close(ignored);
    }
    Tcp::socket near;
    Tcp::socket far;
    bool silent = false;
    std::size_t answered = 0;
    std::array<char, 4096> request{};
    std::array<char, 4096> answer{};
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Accept() {
    acceptor_.async_accept([this](const std::error_code& error,
                                  Tcp::socket socket) {
      if (error) {
        return;
      }
      auto link = std::make_shared<Link>(std::move(socket), context_);
      links_.push_back(link);
      link->far.async_connect(target_, [this, link](const std::error_code&) {
        PumpRequests(link);
        PumpAnswers(link);
      });
      Accept();
    });
  }

  void PumpRequests(const LinkPtr& link) {
    link->near.async_read_some(
        asio::buffer(link->request),
        [this, link](const std::error_code& error, std::size_t count) {
          if (error) {
            link->Close();
            return;
          }
          if (link->silent) {
            PumpRequests(link);
            return;
          }
          asio::async_write(link->far, asio::buffer(link->request, count),
                            [this, link](const std::error_code&, std::size_t) {
                              PumpRequests(link);
                            });
        });
  }

  void PumpAnswers(const LinkPtr& link) {
    link->far.async_read_some(
        asio::buffer(link->answer),
        [this, link](const std::error_code& error, std::size_t count) {
          link->answered += count;
          if (error || link->answered > answer_limit_) {
            link->Close();
            return;
          }
          if (link->silent) {
            PumpAnswers(link);
            return;
          }
          asio::async_write(link->near, asio::buffer(link->answer, count),
                            [this, link](const std::error_code&, std::size_t) {
                              PumpAnswers(link);
                            });
        });
  }

  asio::io_context& context_;
  Tcp::endpoint target_;
  Tcp::acceptor acceptor_;
  std::size_t answer_limit_ = SIZE_MAX;
  std::vector<LinkPtr> links_;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_TEST_RELAY_H_
