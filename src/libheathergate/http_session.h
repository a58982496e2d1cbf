#ifndef LIBHEATHERGATE_HTTP_SESSION_H_
#define LIBHEATHERGATE_HTTP_SESSION_H_

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "heathergate/buffer_hold.h"
#include "heathergate/http_exchange.h"
#include "heathergate/http_reader.h"
#include "heathergate/http_response.h"
#include "heathergate/timer.h"
#include "heatherlever/instant.h"
#include "heathersteer/traffic_config.h"
#include "libheathergate/send_watch.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class BufferBudget;
class PauseMonitor;
class SessionOwner;

/// One connection of an HttpServer.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(SessionOwner& owner,
              heathernet::EventLoop& loop,
              asio::ip::tcp::socket socket);

  void Start();

  /// Closes the connection at once.
  void Close();

  /// Reads what has arrived; ends the connection if there is no request, and
  /// none is about to come on a new connection.
  void CloseIfIdle();

  /// Whether no request is being read or handled.
  bool idle() const;

  /// Whether a request is being read or handled.
  bool busy() const { return !closed_ && !lingering_ && !idle(); }

 private:
  void AwaitInput();
  void ReadInput();
  void TakeInput();
  void Parse();
  void OnReadEnd(std::error_code error);
  void Dispatch();
  heatherlever::Instant ArrivalTime();
  bool CheckPeer();
  void ProbePeer();
  void AwaitProbe();
  void AwaitError();
  void Reject(int status);
  void Reply(HttpResponse response);
  void Write(HttpResponse response);
  // Replaces the response if nothing of it is sent yet.
  void OnResponseDropped();
  void OnWritten(std::error_code error);
  void Linger();
  void ShrinkPendingInput();
  void StartTimer();
  void OnTimer();

  // What is known of a peer that has ended its sending side.
  enum class PeerState { kOpen, kProbed, kWaiting };

  SessionOwner& owner_;
  asio::ip::tcp::socket socket_;
  Timer timer_;
  Timer probe_timer_;
  SendWatch send_watch_;
  HttpReader reader_;
  std::shared_ptr<HttpExchange> exchange_;
  // Received bytes that are not parsed yet, such as pipelined requests.
  std::string pending_input_;
  // Head and body of the response that is being written.
  std::string output_head_;
  std::string output_body_;
  // Counts the current request, then its response.
  BufferHold hold_;
  PeerState peer_state_ = PeerState::kOpen;
  // Sent bytes that are acknowledged once the peer has answered the probe.
  std::uint64_t probe_end_ = 0;
  heatherlever::Instant probed_at_{0};
  bool accepts_interim_ = false;
  bool holding_response_ = false;
  bool response_dropped_ = false;
  heatherlever::Instant lingering_since_{0};
  // Whether the end of the peer's bytes has been read.
  bool read_ended_ = false;
  heatherlever::Instant started_at_{0};
  // Whether the connection has carried a request.
  bool used_ = false;
  bool head_request_ = false;
  bool writing_ = false;
  bool close_after_write_ = false;
  bool lingering_ = false;
  bool continue_sent_ = false;
  bool closed_ = false;
};

/// Interface of the server that owns a session.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual const heathersteer::CallerLimits& limits() const = 0;
  virtual bool leaving() const = 0;
  virtual const std::shared_ptr<BufferBudget>& buffers() const = 0;
  /// nullptr if requests count as arrived when they are read.
  virtual PauseMonitor* pauses() const = 0;
  virtual void Handle(std::shared_ptr<HttpExchange> exchange) = 0;
  virtual void Remove(const std::shared_ptr<HttpSession>& session) = 0;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_HTTP_SESSION_H_
