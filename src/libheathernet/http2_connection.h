#ifndef HEATHERNET_HTTP2_CONNECTION_H_
#define HEATHERNET_HTTP2_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlever/instant.h"
#include "heathernet/peer_headers.h"
#include "heathernet/timer_handle.h"

namespace heathernet {

struct PeerContext;

/// Header that ties an answer to its request.
inline constexpr std::string_view kExchangeIdHeader = "x-exchange-id";
inline constexpr std::string_view kContentLengthHeader = "content-length";

/// A body on its way out.
struct OutgoingBody {
  std::string bytes;
  std::size_t offset = 0;
};

/// One HTTP/2 connection: moves bytes between a socket and an nghttp2 session.
/// The derived classes are its client and server side. The On...() functions
/// are called by nghttp2 and must not call Flush().
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  using Socket = asio::ip::tcp::socket;

  virtual ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  /// Closes the socket and ends every stream. No effect when closed.
  void Close();

  bool closed() const { return closed_; }

  /// Called once, when the connection has closed.
  void set_on_closed(std::function<void()> function) {
    on_closed_ = std::move(function);
  }

 protected:
  enum class Side { kClient, kServer };

  Http2Connection(std::shared_ptr<PeerContext> context,
                  Socket socket,
                  Side side);

  /// Sends the settings and starts to read, once the socket is connected.
  void Start();

  /// Writes what the session has to send.
  void Flush();

  /// Calls OnTick() every `interval` until closed.
  void StartTicks(heatherlever::Duration interval);

  /// Resets a stream.
  void Reset(std::int32_t stream, std::uint32_t error_code);

  virtual void OnBeginHeaders(std::int32_t /*stream*/) {}
  virtual void OnHeader(std::int32_t stream,
                        std::string_view name,
                        std::string_view value) = 0;
  virtual void OnData(std::int32_t stream, std::string_view bytes) = 0;
  virtual void OnFrame(const nghttp2_frame& frame) = 0;
  virtual void OnFrameSent(const nghttp2_frame& /*frame*/) {}
  virtual void OnStreamClosed(std::int32_t stream,
                              std::uint32_t error_code) = 0;
  /// The body to send on a stream; null if the stream is gone.
  virtual OutgoingBody* FindOutgoingBody(std::int32_t stream) = 0;
  virtual void OnTick(heatherlever::Instant now) = 0;
  /// The connection has closed.
  virtual void OnClosed() = 0;

  PeerContext& context() { return *context_; }
  const std::shared_ptr<PeerContext>& shared_context() const {
    return context_;
  }
  nghttp2_session* session() { return session_.get(); }
  Socket& socket() { return socket_; }
  /// When the last whole frame arrived, or Start() was called.
  heatherlever::Instant last_heard() const { return last_heard_; }
  /// How long the write in progress has taken; zero if there is none.
  heatherlever::Duration WriteAge(heatherlever::Instant now) const;

 private:
  // The peer broke the protocol; the connection closes soon.
  void CountGarbage();
  // The peer closed or broke the connection; Close() follows.
  void CountBroken();
  friend struct Http2Callbacks;
  struct SessionDeleter {
    void operator()(nghttp2_session* session) const {
      nghttp2_session_del(session);
    }
  };
  using SessionPtr = std::unique_ptr<nghttp2_session, SessionDeleter>;

  static constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
  static constexpr std::size_t kMaxWriteBytes = std::size_t{64} * 1024;

  static SessionPtr MakeSession(Http2Connection* self,
                                const PeerContext& context,
                                Side side);
  bool SubmitSettings();
  void Read();
  void HandleRead(std::size_t bytes);
  bool GatherOutput();
  void ScheduleTick(heatherlever::Instant previous);

  std::shared_ptr<PeerContext> context_;
  Socket socket_;
  Side side_;
  SessionPtr session_;
  std::function<void()> on_closed_;
  std::array<char, kReadBytes> input_{};
  std::vector<char> output_;
  TimerHandle tick_;
  heatherlever::Duration tick_interval_{};
  heatherlever::Instant last_heard_{};
  heatherlever::Instant write_started_{};
  bool tick_skipped_ = false;
  bool started_ = false;
  bool writing_ = false;
  bool closed_ = false;
};

/// Header fields for nghttp2, which refer to the strings they were made from.
class Http2Headers {
 public:
  void Add(std::string_view name, std::string_view value);
  void Add(const PeerHeaders& headers);
  const nghttp2_nv* data() const { return fields_.data(); }
  std::size_t size() const { return fields_.size(); }
  /// Bytes of all names and values.
  std::size_t bytes() const { return bytes_; }

 private:
  std::vector<nghttp2_nv> fields_;
  std::size_t bytes_ = 0;
};

/// A data provider that sends FindOutgoingBody().
nghttp2_data_provider OutgoingBodyProvider();

}  // namespace heathernet

#endif  // HEATHERNET_HTTP2_CONNECTION_H_
