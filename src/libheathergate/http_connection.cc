#include "libheathergate/http_connection.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

#include "heathernet/event_loop.h"
#include "libheathergate/sent_bytes.h"
#include "libheathergate/socket_options.h"
#include "libheathernet/event_loop_impl.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heathernet::EventLoop;

// Maximum size of the head of a response.
constexpr std::size_t kMaxHeadBytes = 32768;
// Share of the keep-alive time announced by the peer during which a connection
// is reused, so that no request is sent while the peer closes the connection.
constexpr double kKeepAliveShare = 0.6;
// Time for which a peer may accept no bytes of a request. Calls have deadlines
// of their own.
constexpr Duration kStallTimeout = std::chrono::seconds(60);
// Time that the identified response to a request has after one without an echo
// before the peer is asked whether it is still to come.
constexpr Duration kBarrierDelay = std::chrono::milliseconds(100);

}  // namespace

HttpConnection::HttpConnection(HttpClient& client,
                               EventLoop& loop,
                               HttpPeer peer)
    : client_(client),
      loop_(loop),
      peer_(std::move(peer)),
      socket_(loop.impl()->context),
      connect_timer_(loop),
      barrier_timer_(loop),
      send_watch_(loop, socket_),
      reader_(HttpReader::Kind::kResponse,
              {.head_bytes = kMaxHeadBytes,
               .body_bytes = client.options_.max_body_bytes}),
      response_hold_(client.options_.buffers, [this] {
        Fail("the host's buffers are full, and the response was the largest");
      }) {}

void HttpConnection::Open(std::shared_ptr<HttpCall> call,
                          OutgoingRequest request) {
  SetCall(std::move(call), std::move(request));
  std::error_code error;
  const auto address = asio::ip::make_address(peer_.address, error);
  if (error) {
    // The call's owner stores it once HttpClient::Send() has returned.
    loop_.Post([self = shared_from_this()] {
      self->Fail("address '" + self->peer_.address + "' is not an IP address");
    });
    return;
  }
  const asio::ip::tcp::endpoint endpoint(address, peer_.port);
  OpenClientSocket(socket_, endpoint, error);
  if (error) {
    loop_.Post(
        [self = shared_from_this(), error] { self->OnConnected(error); });
    return;
  }
  connect_timer_.Start(client_.options_.connect_timeout,
                       [self = weak_from_this()] {
                         if (const auto connection = self.lock()) {
                           connection->unreachable_ = true;
                           connection->Fail("connecting took too long");
                         }
                       });
  ++client_.opened_;
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](std::error_code result) {
                          self->OnConnected(result);
                        });
}

void HttpConnection::OnConnected(std::error_code error) {
  if (closed_) {
    return;
  }
  connect_timer_.Cancel();
  if (!error && ConnectedToItself(socket_)) {
    error = asio::error::connection_refused;
  }
  if (error) {
    unreachable_ = true;
    Fail("cannot connect: " + error.message());
    return;
  }
  ConfigureSocket(socket_, client_.options_.ack_timeout);
  send_watch_.SetTimeouts(client_.options_.ack_timeout, kStallTimeout);
  Write();
  AwaitInput();
}

void HttpConnection::Reuse(std::shared_ptr<HttpCall> call,
                           OutgoingRequest request) {
  SetCall(std::move(call), std::move(request));
  call_->reused_connection_ = true;
  Write();
}

void HttpConnection::SetCall(std::shared_ptr<HttpCall> call,
                             OutgoingRequest request) {
  call_ = std::move(call);
  call_->connection_ = shared_from_this();
  previous_echo_ = std::exchange(request_, std::move(request)).check.echo;
  head_request_ = request_.is_head_method;
  unconfirmed_.reset();
  barrier_sent_ = false;
  ResetReader();
}

void HttpConnection::ResetReader() {
  reader_.Reset();
  if (head_request_) {
    reader_.ExpectNoBody();
  }
}

void HttpConnection::Write() {
  std::optional<std::string> head =
      std::exchange(request_.make_head, nullptr)();
  if (!head) {
    Withdraw();
    return;
  }
  request_.head = *std::move(head);
  // async_write may send part of the request at once.
  call_->sent_ = true;
  request_pending_ = true;
  writing_ = true;
  send_watch_.Start(request_.head.size() + request_.body->size());
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(request_.head), asio::buffer(*request_.body)};
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](std::error_code error, std::size_t) {
        if (error && !self->closed_) {
          self->OnWriteFailed(error);
        }
        self->writing_ = false;
        // An idle connection keeps nothing of its last request.
        std::string().swap(self->request_.head);
        self->request_.body = nullptr;
      });
}

void HttpConnection::Withdraw() {
  withdrawn_ = true;
  // The call's owner stores it once HttpClient::Send() has returned.
  loop_.Post([self = shared_from_this()] {
    self->Fail("the request is not to be sent any more");
  });
}

// A peer may respond and end the connection before it has read the whole
// request. A response that ends with the connection isn't complete then.
void HttpConnection::OnWriteFailed(std::error_code error) {
  while (!closed_) {
    const SocketInput input = ReadAvailable(socket_);
    if (input.error) {
      break;
    }
    OnInput(input.data);
  }
  unreachable_ = error == asio::error::timed_out;
  Fail("write failed: " + error.message());
}

void HttpConnection::AwaitInput() {
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](std::error_code error) {
                       self->reading_ = false;
                       if (self->closed_) {
                         return;
                       }
                       if (error) {
                         self->OnReadEnd(error);
                         return;
                       }
                       self->ReadInput();
                     });
}

void HttpConnection::ReadInput() {
  const SocketInput input = ReadAvailable(socket_);
  if (input.error && input.error != asio::error::would_block) {
    OnReadEnd(input.error);
    return;
  }
  OnInput(input.data);
  if (!closed_ && !reading_) {
    AwaitInput();
  }
}

void HttpConnection::OnInput(std::string_view data) {
  while (!data.empty() && !closed_) {
    if (call_ == nullptr) {
      // The bytes belong to no request.
      Close();
      return;
    }
    std::size_t used = 0;
    call_->received_bytes_ += data.size();
    const ReadStatus status = reader_.Feed(data, &used);
    data.remove_prefix(used);
    if (status == ReadStatus::kNeedMore) {
      // May drop this response.
      response_hold_.HoldResponse(
          reader_.body().size() +
          (unconfirmed_ ? unconfirmed_->body.size() : 0));
      return;
    }
    if (status != ReadStatus::kComplete) {
      Fail("the response is malformed or too large, status " +
           std::to_string(reader_.head().status));
      return;
    }
    unexpected_input_ = unexpected_input_ || !data.empty();
    OnResponse();
  }
}

void HttpConnection::OnResponse() {
  switch (MatchEcho()) {
    case EchoMatch::kSame:
      if (unconfirmed_) {
        spdlog::info(
            "response of {} with status {} and no id ignored: it belonged to "
            "no request",
            peer_.name, unconfirmed_->head.status);
        unexpected_input_ = true;
      }
      Succeed(TakeResponse());
      return;
    case EchoMatch::kOther:
      if (barrier_sent_ && !RepeatsPreviousEcho()) {
        // Some servers name a request that has no id.
        OnUnidentifiedResponse();
        return;
      }
      // A late or duplicate response to an earlier request; the response to
      // this one may follow.
      unexpected_input_ = true;
      ResetReader();
      response_hold_.Release();
      return;
    case EchoMatch::kMissing:
      OnUnidentifiedResponse();
      return;
  }
}

HttpConnection::EchoMatch HttpConnection::MatchEcho() const {
  const std::string& header = client_.options_.echo_header;
  if (header.empty() || request_.check.echo.empty()) {
    return EchoMatch::kSame;
  }
  const std::string* value =
      const_cast<HttpReader&>(reader_).head().Find(header);
  if (value == nullptr) {
    return EchoMatch::kMissing;
  }
  return *value == request_.check.echo ? EchoMatch::kSame : EchoMatch::kOther;
}

bool HttpConnection::RepeatsPreviousEcho() const {
  const std::string* value = const_cast<HttpReader&>(reader_).head().Find(
      client_.options_.echo_header);
  return value != nullptr && *value == previous_echo_;
}

bool HttpConnection::NeedsConfirmation() const {
  return call_->reused_connection_ && !request_.check.barrier_head.empty();
}

// Servers may reject a request without its id, and bytes that follow the
// response to an earlier request may look the same. A server answers the
// requests of a connection in turn: if it answers the barrier next, there is no
// other response to this request. Nor is there if the response announced the
// end of the connection, and it ends.
void HttpConnection::OnUnidentifiedResponse() {
  if (!NeedsConfirmation()) {
    Succeed(TakeResponse());
    return;
  }
  if (!unconfirmed_) {
    unconfirmed_ = TakeResponse();
    AwaitConfirmation();
  } else if (barrier_sent_) {
    reader_.Reset();
    Succeed(*std::exchange(unconfirmed_, std::nullopt));
  } else {
    Fail("two responses without the request's id");
  }
}

void HttpConnection::AwaitConfirmation() {
  ResetReader();
  barrier_timer_.Start(kBarrierDelay, [self = weak_from_this()] {
    if (const auto connection = self.lock()) {
      connection->SendBarrier();
    }
  });
}

void HttpConnection::SendBarrier() {
  if (closed_ || !unconfirmed_) {
    return;
  }
  if (writing_) {
    AwaitConfirmation();
    return;
  }
  barrier_sent_ = true;
  writing_ = true;
  send_watch_.Start(request_.check.barrier_head.size());
  asio::async_write(
      socket_, asio::buffer(request_.check.barrier_head),
      [self = shared_from_this()](std::error_code error, std::size_t) {
        self->writing_ = false;
        if (error && !self->closed_) {
          self->OnWriteFailed(error);
        }
      });
}

void HttpConnection::OnReadEnd(std::error_code error) {
  if (call_ == nullptr) {
    Close();
    return;
  }
  // A failed write takes the connection's error, so that the reset which caused
  // it reads as the end.
  const bool closed_by_peer = error == asio::error::eof && !writing_;
  if (closed_by_peer && unconfirmed_ && !unconfirmed_->head.keep_alive &&
      !reader_.started()) {
    Succeed(*std::exchange(unconfirmed_, std::nullopt));
    return;
  }
  if (closed_by_peer && reader_.head_complete() &&
      reader_.FeedEnd() == ReadStatus::kComplete) {
    const EchoMatch match = MatchEcho();
    if (match == EchoMatch::kSame ||
        (match == EchoMatch::kMissing && !NeedsConfirmation())) {
      reader_.head().keep_alive = false;
      Succeed(TakeResponse());
      return;
    }
  }
  // The acknowledgement of sent bytes did not come in time.
  unreachable_ = error == asio::error::timed_out;
  ended_by_peer_ = !unreachable_;
  Fail("the connection ended: " + error.message());
}

CallResult HttpConnection::TakeResponse() {
  CallResult result;
  result.outcome = CallOutcome::kAnswered;
  result.head = std::move(reader_.head());
  result.body = std::move(reader_.body());
  return result;
}

void HttpConnection::Succeed(CallResult result) {
  barrier_timer_.Cancel();
  request_pending_ = false;
  idle_timeout_ = client_.options_.idle_timeout;
  if (const std::string* value = result.head.Find("Keep-Alive")) {
    const std::size_t position = value->find("timeout=");
    int seconds = 0;
    if (position != std::string::npos) {
      const char* begin =
          value->data() + position + std::string("timeout=").size();
      std::from_chars(begin, value->data() + value->size(), seconds);
      const auto usable_time = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(seconds * kKeepAliveShare));
      idle_timeout_ = std::min(idle_timeout_, usable_time);
    }
  }
  // A late or duplicate response could be framed by the wrong request's method.
  const bool framing_certain = !head_request_ && !reader_.skipped_body();
  const bool reuse = result.head.keep_alive && !writing_ &&
                     !unexpected_input_ && framing_certain;
  const auto call = std::exchange(call_, nullptr);
  reader_.Reset();
  // The receiver of the response counts it from now on.
  response_hold_.Release();
  if (reuse) {
    client_.AddIdle(shared_from_this());
  } else {
    Close();
  }
  call->Finish(std::move(result));
}

void HttpConnection::Fail(const std::string& error) {
  const auto call = std::exchange(call_, nullptr);
  Close();
  if (call == nullptr) {
    return;
  }
  CallResult result;
  result.outcome = call->sent_ ? CallOutcome::kBroken : CallOutcome::kNotSent;
  result.ended_by_peer = ended_by_peer_;
  result.unreachable = unreachable_;
  result.withdrawn = withdrawn_;
  result.error = error;
  call->Finish(std::move(result));
}

void HttpConnection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  if (request_pending_) {
    DropUnacknowledged();
  }
  call_ = nullptr;
  reader_.Reset();
  response_hold_.Release();
  connect_timer_.Cancel();
  barrier_timer_.Cancel();
  send_watch_.Stop();
  std::error_code ignored;  // NOLINT: the connection is dropped either way.
  socket_.close(ignored);
  client_.RemoveIdle(shared_from_this());
}

// Bytes on their way would reach the peer once it can be reached again, when
// nobody waits for a response any more.
void HttpConnection::DropUnacknowledged() {
  const auto sent = SentBytes::Of(socket_.native_handle());
  if (!sent || sent->acknowledged != sent->written) {
    ResetOnClose(socket_);
  }
}

bool HttpConnection::IsReusable(Instant now) {
  return !closed_ && now - idle_since_ < idle_timeout_ &&
         !HasPendingInput(socket_);
}

}  // namespace heathergate
