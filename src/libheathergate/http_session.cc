#include "libheathergate/http_session.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "heathergate/head_writer.h"
#include "heathergate/http_status.h"
#include "heathergate/pause_monitor.h"
#include "heathernet/event_loop.h"
#include "libheathergate/sent_bytes.h"
#include "libheathergate/socket_options.h"

namespace heathergate {
namespace {

using heatherlever::Duration;
using heathernet::EventLoop;

// Maximum bytes of later requests that are buffered while one is in progress.
constexpr std::size_t kMaxPendingBytes = 65536;
// Capacity that a connection keeps for input while it has none.
constexpr std::size_t kMaxIdleInputBytes = 4096;
// Time without input after the last response for the peer to close the
// connection. Closing with unread input would reset the connection, and the
// response could be lost.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(1000);
// Time for the first request after the connection was accepted, in which it is
// not closed as idle.
constexpr Duration kFirstRequestTime = std::chrono::seconds(1);
// Time within which the client's kernel has to acknowledge sent bytes.
constexpr Duration kClientAckTimeout = std::chrono::seconds(5);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
// Time for a peer that has ended its sending side to acknowledge a probe. If it
// has closed the connection, its kernel resets it instead.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);
constexpr Duration kProbeInterval = std::chrono::milliseconds(10);

bool HasBody(int status) {
  return status != kStatusNoContent && status != kStatusNotModified;
}

}  // namespace

HttpSession::HttpSession(SessionOwner& owner,
                         EventLoop& loop,
                         asio::ip::tcp::socket socket)
    : owner_(owner),
      socket_(std::move(socket)),
      timer_(loop),
      probe_timer_(loop),
      send_watch_(loop, socket_),
      reader_(HttpReader::Kind::kRequest, {}),
      hold_(owner.buffers(), [this] {
        // Closing removes the owner's reference.
        const auto self = shared_from_this();
        OnResponseDropped();
      }) {}

void HttpSession::Start() {
  ConfigureSocket(socket_, kClientAckTimeout);
  started_at_ = EventLoop::Now();
  const auto& limits = owner_.limits();
  send_watch_.SetTimeouts(kClientAckTimeout, limits.idle_timeout);
  reader_.set_limits({limits.max_header_bytes, limits.max_body_bytes});
  StartTimer();
  AwaitInput();
}

bool HttpSession::idle() const {
  return exchange_ == nullptr && !writing_ && !reader_.started() &&
         pending_input_.empty();
}

void HttpSession::StartTimer() {
  const auto& limits = owner_.limits();
  const bool reading_head = reader_.started() && !reader_.head_complete();
  const Duration timeout = lingering_     ? kLingerTimeout
                           : reading_head ? limits.header_timeout
                                          : limits.idle_timeout;
  timer_.Start(timeout, [self = weak_from_this()] {
    if (const auto session = self.lock()) {
      session->OnTimer();
    }
  });
}

void HttpSession::OnTimer() {
  if (lingering_) {
    Close();
    return;
  }
  if (exchange_ != nullptr || writing_) {
    return;
  }
  // After the process was paused, its timers may come before the input that
  // has arrived meanwhile.
  const bool was_idle = idle();
  TakeInput();
  if (closed_ || lingering_ || exchange_ != nullptr || writing_) {
    return;
  }
  if (idle()) {
    Close();
  } else if (!was_idle) {
    Reject(kStatusRequestTimeout);
  }
}

void HttpSession::CloseIfIdle() {
  if (closed_ || lingering_ || !idle()) {
    return;
  }
  TakeInput();
  const bool awaits_first =
      !used_ && EventLoop::Now() - started_at_ < kFirstRequestTime;
  if (!closed_ && idle() && !awaits_first) {
    Linger();
  }
}

void HttpSession::AwaitInput() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](std::error_code error) {
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

void HttpSession::ReadInput() {
  TakeInput();
  // With a full buffer, further input stays in the kernel until the response is
  // written.
  if (!closed_ && !read_ended_ && pending_input_.size() < kMaxPendingBytes) {
    AwaitInput();
  }
}

void HttpSession::TakeInput() {
  const SocketInput input = ReadAvailable(socket_);
  if (input.error && input.error != asio::error::would_block) {
    OnReadEnd(input.error);
    return;
  }
  if (lingering_) {
    // A peer that still sends a request would lose the response to it.
    if (EventLoop::Now() - lingering_since_ < owner_.limits().idle_timeout) {
      StartTimer();
    }
  } else if (!close_after_write_) {
    pending_input_.append(input.data);
    Parse();
  }
}

void HttpSession::Parse() {
  if (exchange_ != nullptr || writing_ || pending_input_.empty()) {
    return;
  }
  const bool first_bytes = !reader_.started();
  std::size_t used = 0;
  const ReadStatus status = reader_.Feed(pending_input_, &used);
  pending_input_.erase(0, used);
  switch (status) {
    case ReadStatus::kComplete:
      Dispatch();
      return;
    case ReadStatus::kMalformed:
      Reject(kStatusBadRequest);
      return;
    case ReadStatus::kHeadTooLarge:
      Reject(kStatusHeadTooLarge);
      return;
    case ReadStatus::kBodyTooLarge:
      Reject(kStatusPayloadTooLarge);
      return;
    case ReadStatus::kNeedMore:
      break;
  }
  if (!hold_.HoldRequest(reader_.body().size())) {
    hold_.RecordRejection();
    Reject(kStatusUnavailable);
    return;
  }
  if (first_bytes) {
    StartTimer();
  }
  const std::string* expect =
      reader_.head_complete() ? reader_.head().Find("Expect") : nullptr;
  if (expect != nullptr && reader_.head().accepts_interim && !continue_sent_) {
    continue_sent_ = true;
    std::error_code ignored;  // NOLINT: the next read reports the error.
    socket_.write_some(asio::buffer(kContinue.data(), kContinue.size()),
                       ignored);
  }
}

void HttpSession::Dispatch() {
  const std::size_t body_bytes = reader_.body().size();
  if (!hold_.HoldRequest(body_bytes) && body_bytes > 0) {
    hold_.RecordRejection();
    Reject(kStatusUnavailable);
    return;
  }
  timer_.Cancel();
  used_ = true;
  head_request_ = reader_.head().method == "HEAD";
  close_after_write_ = !reader_.head().keep_alive;
  accepts_interim_ = reader_.head().accepts_interim;
  exchange_ = std::make_shared<HttpExchange>(
      std::move(reader_.head()), std::move(reader_.body()), ArrivalTime(),
      [self = weak_from_this()](HttpResponse response) {
        if (const auto session = self.lock()) {
          session->Reply(std::move(response));
        }
      });
  exchange_->SetClientCheck([self = weak_from_this()] {
    const auto session = self.lock();
    return session != nullptr && session->CheckPeer();
  });
  reader_.Reset();
  continue_sent_ = false;
  owner_.Handle(exchange_);
}

heatherlever::Instant HttpSession::ArrivalTime() {
  PauseMonitor* pauses = owner_.pauses();
  return pauses == nullptr
             ? EventLoop::Now()
             : pauses->ArrivalTime([this] { return TimeSinceInput(socket_); });
}

bool HttpSession::CheckPeer() {
  if (closed_) {
    return false;
  }
  if (peer_state_ == PeerState::kOpen && !EndedByPeer(socket_)) {
    return true;
  }
  if (HasFailed(socket_)) {
    Close();
    return false;
  }
  if (peer_state_ == PeerState::kOpen) {
    ProbePeer();
  }
  return !closed_ && peer_state_ == PeerState::kWaiting;
}

// A peer that has closed the connection and one that only has no more requests
// both send a FIN, but only the kernel of the first one resets the connection
// if more is sent to it.
void HttpSession::ProbePeer() {
  const auto sent = SentBytes::Of(socket_.native_handle());
  if (!accepts_interim_ || !sent.has_value()) {
    Close();
    return;
  }
  std::error_code error;
  const std::size_t size = socket_.write_some(
      asio::buffer(kContinue.data(), kContinue.size()), error);
  if (size != kContinue.size()) {
    Close();
    return;
  }
  peer_state_ = PeerState::kProbed;
  probe_end_ = sent->written + size;
  probed_at_ = EventLoop::Now();
  AwaitError();
  AwaitProbe();
}

void HttpSession::AwaitProbe() {
  const auto sent = SentBytes::Of(socket_.native_handle());
  if (HasFailed(socket_) || !sent.has_value()) {
    Close();
    return;
  }
  if (sent->acknowledged >= probe_end_) {
    peer_state_ = PeerState::kWaiting;
    return;
  }
  if (EventLoop::Now() - probed_at_ >= kProbeTimeout) {
    if (sent->in_flight) {
      Close();
    } else {
      // The probe waits behind a response that the peer, which is alive, has
      // not read yet.
      peer_state_ = PeerState::kWaiting;
    }
    return;
  }
  probe_timer_.Start(kProbeInterval, [self = weak_from_this()] {
    const auto session = self.lock();
    if (session != nullptr && session->exchange_ != nullptr) {
      session->AwaitProbe();
    }
  });
}

// The peer may close the connection later, or stand behind a proxy that
// acknowledged the probe.
void HttpSession::AwaitError() {
  socket_.async_wait(asio::ip::tcp::socket::wait_error,
                     [self = shared_from_this()](std::error_code error) {
                       if (self->closed_ || self->lingering_) {
                         return;
                       }
                       if (error || HasFailed(self->socket_)) {
                         self->Close();
                         return;
                       }
                       self->AwaitError();
                     });
}

void HttpSession::Reject(int status) {
  HttpResponse response = HttpResponse::Of(status);
  response.close = true;
  // What was read of the request is not needed while the connection lingers.
  reader_.Reset();
  ShrinkPendingInput();
  Write(std::move(response));
}

void HttpSession::Reply(HttpResponse response) {
  exchange_ = nullptr;
  if (!closed_) {
    Write(std::move(response));
  }
}

void HttpSession::OnResponseDropped() {
  if (holding_response_) {
    response_dropped_ = true;
  } else {
    Close();
  }
}

void HttpSession::Write(HttpResponse response) {
  response_dropped_ = false;
  holding_response_ = true;
  hold_.HoldResponse(response.body.size());
  holding_response_ = false;
  if (response_dropped_) {
    response = HttpResponse::Of(kStatusBadGateway);
  }
  close_after_write_ = close_after_write_ || response.close ||
                       owner_.leaving() ||
                       (read_ended_ && pending_input_.empty());
  probe_timer_.Cancel();
  auto head =
      HeadWriter::ForResponse(response.status, ReasonPhrase(response.status));
  for (const HeaderField& field : response.fields) {
    head.AddField(field.name, field.value);
  }
  if (HasBody(response.status)) {
    std::string length = std::to_string(response.body.size());
    if (head_request_) {
      length = response.head_length.value_or(length);
    }
    if (!length.empty()) {
      head.AddField("Content-Length", length);
    }
  }
  if (close_after_write_) {
    head.AddField("Connection", "close");
  } else if (!accepts_interim_) {
    // HTTP/1.0 callers otherwise wait for the end of the connection.
    head.AddField("Connection", "keep-alive");
  }
  output_head_ = std::move(head).Finish();
  if (HasBody(response.status) && !head_request_) {
    output_body_ = std::move(response.body);
  }
  writing_ = true;
  send_watch_.Start(output_head_.size() + output_body_.size());
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(output_head_), asio::buffer(output_body_)};
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](std::error_code error, std::size_t) {
        self->OnWritten(error);
      });
}

void HttpSession::OnWritten(std::error_code error) {
  writing_ = false;
  output_head_.clear();
  std::string().swap(output_body_);
  hold_.Release();
  if (closed_) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (close_after_write_) {
    send_watch_.AllowStall();
    if (read_ended_) {
      Close();
    } else {
      Linger();
    }
    return;
  }
  const bool was_full = pending_input_.size() >= kMaxPendingBytes;
  const auto& limits = owner_.limits();
  reader_.set_limits({limits.max_header_bytes, limits.max_body_bytes});
  StartTimer();
  Parse();
  if (read_ended_ && exchange_ == nullptr && !writing_) {
    // What is left is no complete request.
    Close();
    return;
  }
  if (exchange_ != nullptr && peer_state_ == PeerState::kProbed) {
    AwaitProbe();
  } else if (exchange_ != nullptr && read_ended_ &&
             peer_state_ == PeerState::kOpen) {
    ProbePeer();
  }
  ShrinkPendingInput();
  if (was_full && !closed_) {
    AwaitInput();
  }
}

void HttpSession::ShrinkPendingInput() {
  if (pending_input_.empty() &&
      pending_input_.capacity() > kMaxIdleInputBytes) {
    std::string().swap(pending_input_);
  }
}

void HttpSession::Linger() {
  lingering_ = true;
  lingering_since_ = EventLoop::Now();
  pending_input_.clear();
  ShrinkPendingInput();
  std::error_code ignored;  // NOLINT: the peer may have closed already.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  StartTimer();
}

void HttpSession::OnReadEnd(std::error_code error) {
  if (error != asio::error::eof || lingering_ ||
      (exchange_ == nullptr && !writing_)) {
    Close();
    return;
  }
  read_ended_ = true;
  // While a response is written, its own bytes find out.
  if (!writing_ && peer_state_ == PeerState::kOpen) {
    ProbePeer();
  }
}

void HttpSession::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  timer_.Cancel();
  probe_timer_.Cancel();
  send_watch_.Stop();
  hold_.Release();
  std::error_code ignored;  // NOLINT: the connection is dropped either way.
  socket_.close(ignored);
  if (const auto exchange = std::exchange(exchange_, nullptr)) {
    exchange->Abandon();
  }
  owner_.Remove(shared_from_this());
}

}  // namespace heathergate
