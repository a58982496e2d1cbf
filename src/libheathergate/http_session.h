#ifndef LIBHEATHERGATE_HTTP_SESSION_H_
#define LIBHEATHERGATE_HTTP_SESSION_H_

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

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
  bool CheckPeer();
  void ProbePeer();
  void AwaitProbe();
  void AwaitError();
  void Reject(int status);
  void Reply(const HttpResponse& response);
  void Write(const HttpResponse& response);
  void OnWritten(std::error_code error);
  void Linger();
  bool CountBufferedBytes(std::size_t bytes);
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
  std::string output_;
  // Bytes of the current request in the owner's count.
  std::size_t buffered_bytes_ = 0;
  PeerState peer_state_ = PeerState::kOpen;
  // Sent bytes that are acknowledged once the peer has answered the probe.
  std::uint64_t probe_end_ = 0;
  heatherlever::Instant probed_at_{0};
  bool accepts_interim_ = false;
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
  /// Adds to the count of buffered request bytes; negative values release
  /// bytes. Returns whether all sessions together are within the limit.
  virtual bool AddBufferedBytes(std::ptrdiff_t bytes) = 0;
  virtual void Handle(std::shared_ptr<HttpExchange> exchange) = 0;
  virtual void Remove(const std::shared_ptr<HttpSession>& session) = 0;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_HTTP_SESSION_H_
