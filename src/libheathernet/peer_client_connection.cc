#include "peer_client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "event_loop_impl.h"
#include "peer_context.h"

namespace heathernet {

using heatherlever::Duration;
using heatherlever::Instant;

namespace {

constexpr int kTicksPerPingInterval = 5;
constexpr std::string_view kTimeoutHeader = "x-timeout-us";

// Whether `text` is the decimal number `value`.
bool IsNumber(const std::string& text, std::size_t value) {
  return text == std::to_string(value);
}

}  // namespace

PeerClientConnection::PeerClientConnection(std::shared_ptr<PeerContext> context,
                                           Socket socket)
    : Http2Connection(std::move(context), std::move(socket), Side::kClient),
      last_used_(EventLoop::Now()) {}

std::shared_ptr<PeerClientConnection> PeerClientConnection::Connect(
    const std::shared_ptr<PeerContext>& context,
    const asio::ip::tcp::endpoint& local,
    const asio::ip::tcp::endpoint& remote) {
  Socket socket(context->loop.impl()->context);
  std::shared_ptr<PeerClientConnection> connection(
      new PeerClientConnection(context, std::move(socket)));
  connection->StartConnect(local, remote);
  return connection;
}

void PeerClientConnection::StartConnect(const asio::ip::tcp::endpoint& local,
                                        const asio::ip::tcp::endpoint& remote) {
  const auto self =
      std::static_pointer_cast<PeerClientConnection>(shared_from_this());
  const std::weak_ptr<PeerClientConnection> weak = self;
  connect_deadline_ =
      context().loop.After(context().limits.connect_timeout, [weak] {
        if (const auto late = weak.lock()) {
          late->HandleConnect(asio::error::timed_out);
        }
      });
  std::error_code error;
  socket().open(remote.protocol(), error);
  if (!error) {
    socket().bind(local, error);
  }
  if (error) {
    // The caller has yet to submit its request to this connection.
    context().loop.Post([self, error] { self->HandleConnect(error); });
    return;
  }
  socket().async_connect(remote, [self](const std::error_code& result) {
    self->HandleConnect(result);
  });
}

void PeerClientConnection::HandleConnect(const std::error_code& error) {
  connect_deadline_.Cancel();
  if (closed()) {
    return;
  }
  if (error) {
    ++context().stats.connect_failures;
    Close();
    return;
  }
  ++context().stats.connects;
  connected_ = true;
  Start();
  const PeerLimits& limits = context().limits;
  StartTicks(std::min(limits.ping_interval, limits.idle_ping_interval) /
             kTicksPerPingInterval);
}

void PeerClientConnection::Submit(const std::shared_ptr<PeerCall::State>& call,
                                  PeerRequest request,
                                  std::string exchange_id) {
  const std::string length = std::to_string(request.body.size());
  const std::string timeout = std::to_string(request.timeout.count());
  Http2Headers headers;
  headers.Add(":method", "POST");
  headers.Add(":scheme", "http");
  headers.Add(":path", request.path);
  headers.Add(":authority", "peer");
  headers.Add(kContentLengthHeader, length);
  headers.Add(kExchangeIdHeader, exchange_id);
  headers.Add(kTimeoutHeader, timeout);
  headers.Add(request.headers);
  if (headers.bytes() > context().limits.max_header_bytes) {
    call->Finish(PeerOutcome::kNotSent, "headers too large");
    return;
  }
  const nghttp2_data_provider provider = OutgoingBodyProvider();
  const std::int32_t id = nghttp2_submit_request(
      session(), nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) {
    call->Finish(PeerOutcome::kNotSent, nghttp2_strerror(id));
    return;
  }
  Stream& stream = streams_[id];
  stream.call = call;
  stream.exchange_id = std::move(exchange_id);
  stream.request_body.bytes = std::move(request.body);
  call->connection =
      std::static_pointer_cast<PeerClientConnection>(shared_from_this());
  call->stream = id;
  last_used_ = EventLoop::Now();
  if (!request.background) {
    warm_until_ = last_used_ + context().limits.keep_warm;
  }
  Flush();
}

void PeerClientConnection::Fail(const Stream& stream, std::string detail) {
  stream.call->Finish(
      stream.sent ? PeerOutcome::kUnknown : PeerOutcome::kNotSent,
      std::move(detail));
}

void PeerClientConnection::AbortStream(std::int32_t stream,
                                       const std::string& detail) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  Fail(found->second, detail);
  streams_.erase(found);
  Reset(stream, NGHTTP2_CANCEL);
  last_used_ = EventLoop::Now();
  Flush();
  if (retired_ && streams_.empty()) {
    Close();
  }
}

bool PeerClientConnection::usable(bool background, Instant now) {
  if (closed() || retired_) {
    return false;
  }
  if (!connected_) {
    return true;
  }
  const bool heard =
      now - last_heard() <= context().limits.max_silence_before_use;
  return (background || heard) &&
         nghttp2_session_check_request_allowed(session()) != 0;
}

void PeerClientConnection::CloseWhenIdle() {
  retired_ = true;
  if (streams_.empty()) {
    Close();
  }
}

void PeerClientConnection::OnHeader(std::int32_t stream,
                                    std::string_view name,
                                    std::string_view value) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  found->second.header_bytes += name.size() + value.size();
  if (found->second.header_bytes > context().limits.max_header_bytes) {
    Fail(found->second, "the answer's headers are too large");
    streams_.erase(found);
    Reset(stream, NGHTTP2_CANCEL);
    return;
  }
  PeerResult& answer = found->second.answer;
  if (name == ":status") {
    std::from_chars(value.data(), value.data() + value.size(), answer.status);
  } else {
    answer.headers.insert_or_assign(std::string(name), std::string(value));
  }
}

void PeerClientConnection::OnData(std::int32_t stream, std::string_view bytes) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  std::string& body = found->second.answer.body;
  if (body.size() + bytes.size() > context().limits.max_body_bytes) {
    Fail(found->second, "the answer's body is too large");
    streams_.erase(found);
    Reset(stream, NGHTTP2_CANCEL);
    return;
  }
  body.append(bytes);
}

void PeerClientConnection::OnFrame(const nghttp2_frame& frame) {
  if (frame.hd.type == NGHTTP2_PING &&
      (frame.hd.flags & NGHTTP2_FLAG_ACK) != 0) {
    ping_sent_.reset();
    return;
  }
  const bool carries_answer =
      frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
  if (!carries_answer || (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
    return;
  }
  const auto found = streams_.find(frame.hd.stream_id);
  if (found != streams_.end()) {
    found->second.ended = true;
  }
}

void PeerClientConnection::OnFrameSent(const nghttp2_frame& frame) {
  const auto found = streams_.find(frame.hd.stream_id);
  if (frame.hd.type == NGHTTP2_HEADERS && found != streams_.end()) {
    found->second.sent = true;
  }
}

void PeerClientConnection::OnStreamClosed(std::int32_t stream,
                                          std::uint32_t error_code) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  Stream ended = std::move(found->second);
  streams_.erase(found);
  last_used_ = EventLoop::Now();
  if (error_code == NGHTTP2_NO_ERROR && ended.ended) {
    Accept(ended);
  } else if (error_code == NGHTTP2_REFUSED_STREAM && ended.answer.status == 0) {
    // RFC 9113, 8.7: the request was not processed.
    ended.call->Finish(PeerOutcome::kNotSent, "refused by the peer");
  } else {
    ++context().stats.incomplete_answers;
    Fail(ended,
         std::string("stream closed: ") + nghttp2_http2_strerror(error_code));
  }
}

void PeerClientConnection::Accept(Stream& stream) {
  PeerResult& answer = stream.answer;
  const auto exchange = answer.headers.find(std::string(kExchangeIdHeader));
  if (exchange == answer.headers.end() ||
      exchange->second != stream.exchange_id) {
    ++context().stats.exchange_mismatches;
    Fail(stream, "the answer belongs to another exchange");
    return;
  }
  const auto length = answer.headers.find(std::string(kContentLengthHeader));
  if (length == answer.headers.end() ||
      !IsNumber(length->second, answer.body.size())) {
    ++context().stats.incomplete_answers;
    Fail(stream, "the answer is not of the stated length");
    return;
  }
  answer.outcome = PeerOutcome::kAnswered;
  stream.call->Finish(std::move(answer));
}

OutgoingBody* PeerClientConnection::FindOutgoingBody(std::int32_t stream) {
  const auto found = streams_.find(stream);
  return found == streams_.end() ? nullptr : &found->second.request_body;
}

void PeerClientConnection::OnTick(Instant now) {
  if (retired_ && streams_.empty()) {
    Close();
    return;
  }
  CheckPing(now);
  if (!closed()) {
    CloseIfIdle(now);
  }
}

void PeerClientConnection::CheckPing(Instant now) {
  const PeerLimits& limits = context().limits;
  if (ping_sent_) {
    if (now - *ping_sent_ > limits.ping_timeout) {
      ++context().stats.dropped_ping_timeout;
      Close();
    }
    return;
  }
  if (streams_.empty() && now > warm_until_) {
    return;
  }
  const Duration interval =
      streams_.empty() ? limits.idle_ping_interval : limits.ping_interval;
  if (now - last_heard() >= interval) {
    ping_sent_ = now;
    nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, nullptr);
    Flush();
  }
}

void PeerClientConnection::CloseIfIdle(Instant now) {
  if (streams_.empty() && now - last_used_ > context().limits.idle_timeout) {
    Close();
  }
}

void PeerClientConnection::OnClosed() {
  connect_deadline_.Cancel();
  const auto streams = std::exchange(streams_, {});
  for (const auto& [id, stream] : streams) {
    Fail(stream, connected_ ? "connection lost" : "cannot connect");
  }
}

}  // namespace heathernet
