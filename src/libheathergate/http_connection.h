#ifndef LIBHEATHERGATE_HTTP_CONNECTION_H_
#define LIBHEATHERGATE_HTTP_CONNECTION_H_

#include <asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "heathergate/buffer_hold.h"
#include "heathergate/http_call.h"
#include "heathergate/http_client.h"
#include "heathergate/http_reader.h"
#include "heathergate/timer.h"
#include "libheathergate/send_watch.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

/// A request of an HttpConnection.
struct OutgoingRequest {
  bool is_head_method = false;
  HeadMaker make_head;
  /// Empty until it is written.
  std::string head;
  std::shared_ptr<const std::string> body;
  ResponseCheck check;
};

/// One connection of an HttpClient: opened for a call and reused for later
/// ones.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(HttpClient& client,
                 heathernet::EventLoop& loop,
                 HttpPeer peer);

  /// Connects, then sends the call's request.
  void Open(std::shared_ptr<HttpCall> call, OutgoingRequest request);

  /// Sends the next request on an idle connection.
  void Reuse(std::shared_ptr<HttpCall> call, OutgoingRequest request);

  void Close();

  /// Whether this idle connection can carry another request.
  bool IsReusable(heatherlever::Instant now);

  const std::string& peer_name() const { return peer_.name; }
  void set_idle_since(heatherlever::Instant now) { idle_since_ = now; }

 private:
  // How the echo in a response compares with that of the request.
  enum class EchoMatch { kSame, kOther, kMissing };

  void SetCall(std::shared_ptr<HttpCall> call, OutgoingRequest request);
  void ResetReader();
  void OnConnected(std::error_code error);
  void Write();
  void Withdraw();
  void OnWriteFailed(std::error_code error);
  void AwaitInput();
  void ReadInput();
  void OnInput(std::string_view data);
  void OnReadEnd(std::error_code error);
  void OnResponse();
  EchoMatch MatchEcho() const;
  bool RepeatsPreviousEcho() const;
  CallResult TakeResponse();
  bool NeedsConfirmation() const;
  void OnUnidentifiedResponse();
  void AwaitConfirmation();
  void SendBarrier();
  void DropUnacknowledged();
  void Succeed(CallResult result);
  void Fail(const std::string& error);

  HttpClient& client_;
  heathernet::EventLoop& loop_;
  HttpPeer peer_;
  asio::ip::tcp::socket socket_;
  Timer connect_timer_;
  Timer barrier_timer_;
  SendWatch send_watch_;
  HttpReader reader_;
  std::shared_ptr<HttpCall> call_;
  // Without head and body once it is written.
  OutgoingRequest request_;
  bool head_request_ = false;
  // Echo of the request before the current one.
  std::string previous_echo_;
  // A response without an echo that may belong to an earlier request.
  std::optional<CallResult> unconfirmed_;
  bool barrier_sent_ = false;
  BufferHold response_hold_;
  // Whether a request was written that has no response yet.
  bool request_pending_ = false;
  bool writing_ = false;
  bool reading_ = false;
  bool closed_ = false;
  // Whether input has arrived that belongs to no request.
  bool unexpected_input_ = false;
  bool ended_by_peer_ = false;
  bool unreachable_ = false;
  bool withdrawn_ = false;
  heatherlever::Instant idle_since_{0};
  heatherlever::Duration idle_timeout_{0};
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_HTTP_CONNECTION_H_
