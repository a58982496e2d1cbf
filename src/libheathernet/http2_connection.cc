#include "http2_connection.h"

#include <algorithm>
#include <asio/write.hpp>
#include <cstddef>
#include <limits>
#include <utility>

#include "peer_context.h"

namespace heathernet {

using heatherlever::Duration;
using heatherlever::Instant;

/// The functions that nghttp2 calls; `user_data` is the connection.
struct Http2Callbacks {
  static Http2Connection& From(void* user_data) {
    return *static_cast<Http2Connection*>(user_data);
  }

  static int BeginHeaders(nghttp2_session* /*session*/,
                          const nghttp2_frame* frame,
                          void* user_data) {
    From(user_data).OnBeginHeaders(frame->hd.stream_id);
    return 0;
  }

  static int Header(nghttp2_session* /*session*/,
                    const nghttp2_frame* frame,
                    const std::uint8_t* name,
                    std::size_t name_size,
                    const std::uint8_t* value,
                    std::size_t value_size,
                    std::uint8_t /*flags*/,
                    void* user_data) {
    From(user_data).OnHeader(
        frame->hd.stream_id, {reinterpret_cast<const char*>(name), name_size},
        {reinterpret_cast<const char*>(value), value_size});
    return 0;
  }

  static int Data(nghttp2_session* /*session*/,
                  std::uint8_t /*flags*/,
                  std::int32_t stream,
                  const std::uint8_t* data,
                  std::size_t size,
                  void* user_data) {
    From(user_data).OnData(stream, {reinterpret_cast<const char*>(data), size});
    return 0;
  }

  static int FrameReceived(nghttp2_session* /*session*/,
                           const nghttp2_frame* frame,
                           void* user_data) {
    Http2Connection& connection = From(user_data);
    connection.last_heard_ = EventLoop::Now();
    connection.OnFrame(*frame);
    return 0;
  }

  static int FrameSent(nghttp2_session* /*session*/,
                       const nghttp2_frame* frame,
                       void* user_data) {
    Http2Connection& connection = From(user_data);
    // nghttp2 ends the session by itself when the peer breaks the protocol.
    if (frame->hd.type == NGHTTP2_GOAWAY &&
        frame->goaway.error_code != NGHTTP2_NO_ERROR) {
      connection.CountGarbage();
    }
    connection.OnFrameSent(*frame);
    return 0;
  }

  static int StreamClosed(nghttp2_session* /*session*/,
                          std::int32_t stream,
                          std::uint32_t error_code,
                          void* user_data) {
    From(user_data).OnStreamClosed(stream, error_code);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session* /*session*/,
                          std::int32_t stream,
                          std::uint8_t* buffer,
                          std::size_t size,
                          std::uint32_t* data_flags,
                          nghttp2_data_source* /*source*/,
                          void* user_data) {
    OutgoingBody* body = From(user_data).FindOutgoingBody(stream);
    if (body == nullptr) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const std::size_t count = std::min(size, body->bytes.size() - body->offset);
    std::copy_n(body->bytes.begin() + static_cast<std::ptrdiff_t>(body->offset),
                count, buffer);
    body->offset += count;
    if (body->offset == body->bytes.size()) {
      *data_flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
  }
};

namespace {

// RFC 9113: the window that every connection starts with.
constexpr std::size_t kDefaultWindowBytes = 65'535;
// Bodies that one connection may have under way at full speed.
constexpr std::size_t kBodiesPerConnectionWindow = 4;

constexpr std::size_t kMaxWindowBytes =
    std::numeric_limits<std::int32_t>::max();

std::int32_t WindowBytes(std::size_t bytes) {
  return static_cast<std::int32_t>(
      std::clamp(bytes, kDefaultWindowBytes, kMaxWindowBytes));
}

}  // namespace

Http2Connection::Http2Connection(std::shared_ptr<PeerContext> context,
                                 Socket socket,
                                 Side side)
    : context_(std::move(context)),
      socket_(std::move(socket)),
      side_(side),
      session_(MakeSession(this, *context_, side)),
      last_heard_(EventLoop::Now()) {}

Http2Connection::~Http2Connection() = default;

Http2Connection::SessionPtr Http2Connection::MakeSession(
    Http2Connection* self,
    const PeerContext& context,
    Side side) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, Http2Callbacks::BeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Http2Callbacks::Header);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, Http2Callbacks::Data);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, Http2Callbacks::FrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(
      callbacks, Http2Callbacks::FrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, Http2Callbacks::StreamClosed);

  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  // Both sides are the same program, so a client need not wait for the
  // server's settings to know its limit.
  nghttp2_option_set_peer_max_concurrent_streams(
      option, context.limits.max_streams_per_connection);

  nghttp2_session* session = nullptr;
  if (side == Side::kClient) {
    nghttp2_session_client_new2(&session, callbacks, self, option);
  } else {
    nghttp2_session_server_new2(&session, callbacks, self, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  return SessionPtr(session);
}

bool Http2Connection::SubmitSettings() {
  const PeerLimits& limits = context_->limits;
  std::vector<nghttp2_settings_entry> settings = {
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<std::uint32_t>(WindowBytes(limits.max_body_bytes))},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
       static_cast<std::uint32_t>(limits.max_header_bytes)}};
  if (side_ == Side::kClient) {
    settings.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
  } else {
    settings.push_back({NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                        limits.max_streams_per_connection});
  }
  const int submitted = nghttp2_submit_settings(
      session(), NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  const int enlarged = nghttp2_session_set_local_window_size(
      session(), NGHTTP2_FLAG_NONE, 0,
      WindowBytes(kBodiesPerConnectionWindow * limits.max_body_bytes));
  return submitted == 0 && enlarged == 0;
}

void Http2Connection::Start() {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  started_ = true;
  last_heard_ = EventLoop::Now();
  if (!SubmitSettings()) {
    Close();
    return;
  }
  Read();
  Flush();
}

void Http2Connection::Read() {
  socket_.async_read_some(
      asio::buffer(input_),
      [self = shared_from_this()](const std::error_code& error, std::size_t n) {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->CountBroken();
          self->Close();
          return;
        }
        self->HandleRead(n);
      });
}

void Http2Connection::HandleRead(std::size_t bytes) {
  context_->stats.bytes_in += bytes;
  const ssize_t consumed = nghttp2_session_mem_recv(
      session(), reinterpret_cast<const std::uint8_t*>(input_.data()), bytes);
  if (consumed < 0) {
    CountGarbage();
    Close();
    return;
  }
  Flush();
  if (!closed_) {
    Read();
  }
}

bool Http2Connection::GatherOutput() {
  output_.clear();
  while (output_.size() < kMaxWriteBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t count = nghttp2_session_mem_send(session(), &data);
    if (count < 0) {
      return false;
    }
    if (count == 0) {
      break;
    }
    output_.insert(output_.end(), data, data + count);
  }
  return true;
}

void Http2Connection::Flush() {
  if (!started_ || closed_ || writing_) {
    return;
  }
  if (!GatherOutput()) {
    Close();
    return;
  }
  if (output_.empty()) {
    // The session has ended, by GOAWAY or by a protocol error of the peer.
    if (nghttp2_session_want_read(session()) == 0) {
      Close();
    }
    return;
  }
  writing_ = true;
  write_started_ = EventLoop::Now();
  asio::async_write(
      socket_, asio::buffer(output_),
      [self = shared_from_this()](const std::error_code& error, std::size_t n) {
        self->writing_ = false;
        self->context_->stats.bytes_out += n;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->CountBroken();
          self->Close();
          return;
        }
        self->Flush();
      });
}

Duration Http2Connection::WriteAge(Instant now) const {
  return writing_ ? now - write_started_ : Duration(0);
}

void Http2Connection::Reset(std::int32_t stream, std::uint32_t error_code) {
  nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream, error_code);
}

void Http2Connection::StartTicks(Duration interval) {
  tick_interval_ = interval;
  ScheduleTick(EventLoop::Now());
}

void Http2Connection::ScheduleTick(Instant previous) {
  const std::weak_ptr<Http2Connection> weak = weak_from_this();
  tick_ = context_->loop.After(tick_interval_, [weak, previous] {
    const auto self = weak.lock();
    if (!self || self->closed_) {
      return;
    }
    const Instant now = EventLoop::Now();
    // After a pause of this process, what the peer sent meanwhile waits in the
    // socket and is read first.
    const bool late = now - previous > 2 * self->tick_interval_;
    self->tick_skipped_ = late && !self->tick_skipped_;
    if (!self->tick_skipped_) {
      self->OnTick(now);
    }
    if (!self->closed_) {
      self->ScheduleTick(now);
    }
  });
}

void Http2Connection::CountGarbage() {
  ++context().stats.garbage;
}

void Http2Connection::CountBroken() {
  ++context().stats.dropped_by_peer;
}

void Http2Connection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  tick_.Cancel();
  std::error_code ignored;
  socket_.close(ignored);
  OnClosed();
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) {
    on_closed();
  }
}

void Http2Headers::Add(std::string_view name, std::string_view value) {
  // nghttp2 copies the fields and changes none.
  const auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
  };
  fields_.push_back({bytes(name), bytes(value), name.size(), value.size(),
                     NGHTTP2_NV_FLAG_NONE});
  bytes_ += name.size() + value.size();
}

void Http2Headers::Add(const PeerHeaders& headers) {
  for (const auto& [name, value] : headers) {
    Add(name, value);
  }
}

nghttp2_data_provider OutgoingBodyProvider() {
  nghttp2_data_provider provider{};
  provider.read_callback = Http2Callbacks::ReadBody;
  return provider;
}

}  // namespace heathernet
