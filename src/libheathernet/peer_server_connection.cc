#include "peer_server_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "peer_context.h"
#include "peer_responder_state.h"

namespace heathernet {

using heatherlever::Duration;
using heatherlever::Instant;

namespace {

constexpr int kTicksPerTimeout = 5;
constexpr int kStatusTooLarge = 500;
constexpr std::string_view kTimeoutHeader = "x-timeout-us";

}  // namespace

PeerServerConnection::PeerServerConnection(std::shared_ptr<PeerContext> context,
                                           Socket socket)
    : Http2Connection(std::move(context), std::move(socket), Side::kServer),
      accepted_at_(EventLoop::Now()) {}

std::shared_ptr<PeerServerConnection> PeerServerConnection::Accept(
    const std::shared_ptr<PeerContext>& context,
    Socket socket) {
  std::shared_ptr<PeerServerConnection> connection(
      new PeerServerConnection(context, std::move(socket)));
  connection->StartReceiving();
  return connection;
}

std::shared_ptr<PeerServerConnection> PeerServerConnection::self() {
  return std::static_pointer_cast<PeerServerConnection>(shared_from_this());
}

void PeerServerConnection::StartReceiving() {
  const PeerLimits& limits = context().limits;
  Start();
  StartTicks(std::min(limits.handshake_timeout, limits.max_incoming_silence) /
             kTicksPerTimeout);
}

void PeerServerConnection::Drain() {
  // Streams above the last one taken are refused, and the peer told so.
  nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session()),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  Flush();
}

void PeerServerConnection::OnBeginHeaders(std::int32_t stream) {
  Stream& started = streams_[stream];
  std::error_code ignored;
  started.request.remote_ip =
      socket().remote_endpoint(ignored).address().to_string();
  const std::weak_ptr<PeerServerConnection> weak = self();
  started.receive_deadline = context().loop.After(
      context().limits.request_receive_timeout, [weak, stream] {
        if (const auto late = weak.lock()) {
          late->Refuse(stream);
          late->Flush();
        }
      });
}

void PeerServerConnection::Refuse(std::int32_t stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  ++context().stats.requests_refused;
  Remove(found);
  Reset(stream, NGHTTP2_REFUSED_STREAM);
}

PeerServerConnection::Stream PeerServerConnection::Remove(
    std::map<std::int32_t, Stream>::iterator position) {
  Stream removed = std::move(position->second);
  streams_.erase(position);
  removed.receive_deadline.Cancel();
  context().buffered_request_bytes -= std::exchange(removed.buffered, 0);
  return removed;
}

void PeerServerConnection::OnHeader(std::int32_t stream,
                                    std::string_view name,
                                    std::string_view value) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  found->second.header_bytes += name.size() + value.size();
  if (found->second.header_bytes > context().limits.max_header_bytes) {
    Refuse(stream);
    return;
  }
  TakeHeader(found->second, name, value);
}

void PeerServerConnection::TakeHeader(Stream& stream,
                                      std::string_view name,
                                      std::string_view value) {
  if (name == ":path") {
    stream.request.path = value;
  } else if (name == ":method") {
    stream.method = value;
  } else if (name == kExchangeIdHeader) {
    stream.exchange_id = value;
  } else if (name == kContentLengthHeader) {
    stream.content_length = value;
  } else if (name == kTimeoutHeader) {
    Duration::rep timeout = 0;
    std::from_chars(value.data(), value.data() + value.size(), timeout);
    stream.request.timeout = Duration(timeout);
  } else if (name.front() != ':') {
    stream.request.headers.insert_or_assign(std::string(name),
                                            std::string(value));
  }
}

void PeerServerConnection::OnData(std::int32_t stream, std::string_view bytes) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  const PeerLimits& limits = context().limits;
  std::string& body = found->second.request.body;
  if (body.size() + bytes.size() > limits.max_body_bytes ||
      context().buffered_request_bytes + bytes.size() >
          limits.max_buffered_request_bytes) {
    Refuse(stream);
    return;
  }
  body.append(bytes);
  found->second.buffered += bytes.size();
  context().buffered_request_bytes += bytes.size();
}

void PeerServerConnection::OnFrame(const nghttp2_frame& frame) {
  if (frame.hd.type == NGHTTP2_SETTINGS) {
    handshake_done_ = true;
    return;
  }
  const bool carries_request =
      frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
  if (!carries_request || (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
    return;
  }
  const std::int32_t id = frame.hd.stream_id;
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return;
  }
  if (!context().accepting || !context().handler || !IsWhole(found->second)) {
    Refuse(id);
    return;
  }
  Dispatch(id, found->second);
}

bool PeerServerConnection::IsWhole(const Stream& stream) {
  return stream.method == "POST" && !stream.request.path.empty() &&
         !stream.exchange_id.empty() &&
         stream.content_length == std::to_string(stream.request.body.size());
}

void PeerServerConnection::Dispatch(std::int32_t id, Stream& stream) {
  stream.receive_deadline.Cancel();
  context().buffered_request_bytes -= std::exchange(stream.buffered, 0);
  auto state = std::make_shared<PeerResponder::State>();
  state->loop = context().loop.impl();
  state->connection = self();
  state->stream = id;
  stream.responder = state;
  // Posted, because the handler must not run inside nghttp2.
  context().loop.Post([shared = shared_context(), state = std::move(state),
                       request = std::move(stream.request)]() mutable {
    if (!shared->handler || state->cancelled) {
      return;
    }
    ++shared->stats.requests_handled;
    shared->handler(std::move(request), PeerResponder(std::move(state)));
  });
}

void PeerServerConnection::Answer(std::int32_t stream, PeerResponse response) {
  const auto found = streams_.find(stream);
  if (closed() || found == streams_.end()) {
    return;
  }
  if (response.body.size() > context().limits.max_body_bytes) {
    response = PeerResponse{kStatusTooLarge, {}, {}};
  }
  const std::string status = std::to_string(response.status);
  const std::string length = std::to_string(response.body.size());
  Http2Headers headers;
  headers.Add(":status", status);
  headers.Add(kContentLengthHeader, length);
  headers.Add(kExchangeIdHeader, found->second.exchange_id);
  headers.Add(response.headers);
  found->second.answer_body.bytes = std::move(response.body);
  const nghttp2_data_provider provider = OutgoingBodyProvider();
  nghttp2_submit_response(session(), stream, headers.data(), headers.size(),
                          &provider);
  Flush();
}

void PeerServerConnection::OnStreamClosed(std::int32_t stream,
                                          std::uint32_t error_code) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return;
  }
  const Stream removed = Remove(found);
  if (error_code != NGHTTP2_NO_ERROR) {
    Cancel(removed);
  } else if (const auto responder = removed.responder.lock()) {
    // The function may hold the responder itself.
    responder->on_cancel = nullptr;
  }
}

void PeerServerConnection::Cancel(const Stream& stream) {
  const auto responder = stream.responder.lock();
  if (!responder) {
    return;
  }
  ++context().stats.requests_cancelled;
  responder->cancelled = true;
  // Posted, because the handler must not run inside nghttp2.
  context().loop.Post([responder] { responder->Cancel(); });
}

OutgoingBody* PeerServerConnection::FindOutgoingBody(std::int32_t stream) {
  const auto found = streams_.find(stream);
  return found == streams_.end() ? nullptr : &found->second.answer_body;
}

void PeerServerConnection::OnTick(Instant now) {
  const PeerLimits& limits = context().limits;
  if (!handshake_done_) {
    if (now - accepted_at_ > limits.handshake_timeout) {
      ++context().stats.handshake_timeouts;
      Close();
    }
    return;
  }
  const Duration max_silence =
      streams_.empty() ? limits.max_incoming_idle : limits.max_incoming_silence;
  if (now - last_heard() > max_silence ||
      WriteAge(now) > limits.max_incoming_silence) {
    ++context().stats.dropped_silent;
    Close();
  }
}

void PeerServerConnection::OnClosed() {
  while (!streams_.empty()) {
    Cancel(Remove(streams_.begin()));
  }
}

}  // namespace heathernet
