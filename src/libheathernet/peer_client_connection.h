#ifndef HEATHERNET_PEER_CLIENT_CONNECTION_H_
#define HEATHERNET_PEER_CLIENT_CONNECTION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "heathernet/peer_request.h"
#include "heathernet/peer_result.h"
#include "http2_connection.h"
#include "peer_call_state.h"

namespace heathernet {

/// A connection to a peer, with the calls in progress on it.
class PeerClientConnection : public Http2Connection {
 public:
  /// Connects from `local` to `remote`.
  static std::shared_ptr<PeerClientConnection> Connect(
      const std::shared_ptr<PeerContext>& context,
      const asio::ip::tcp::endpoint& local,
      const asio::ip::tcp::endpoint& remote);

  /// Sends a request; the answer or the failure ends `call`.
  void Submit(const std::shared_ptr<PeerCall::State>& call,
              PeerRequest request,
              std::string exchange_id);

  /// Resets a stream and ends its call.
  void AbortStream(std::int32_t stream, const std::string& detail);

  /// True if a new call may use this connection.
  bool usable(bool background, heatherlever::Instant now);

  /// Closes now, or once the calls in progress have ended.
  void CloseWhenIdle();

 protected:
  void OnHeader(std::int32_t stream,
                std::string_view name,
                std::string_view value) override;
  void OnData(std::int32_t stream, std::string_view bytes) override;
  void OnFrame(const nghttp2_frame& frame) override;
  void OnFrameSent(const nghttp2_frame& frame) override;
  void OnStreamClosed(std::int32_t stream, std::uint32_t error_code) override;
  OutgoingBody* FindOutgoingBody(std::int32_t stream) override;
  void OnTick(heatherlever::Instant now) override;
  void OnClosed() override;

 private:
  struct Stream {
    std::shared_ptr<PeerCall::State> call;
    std::string exchange_id;
    OutgoingBody request_body;
    // The HEADERS frame was handed to the socket.
    bool sent = false;
    // END_STREAM of the answer arrived.
    bool ended = false;
    PeerResult answer;
    std::size_t header_bytes = 0;
  };

  PeerClientConnection(std::shared_ptr<PeerContext> context, Socket socket);

  void StartConnect(const asio::ip::tcp::endpoint& local,
                    const asio::ip::tcp::endpoint& remote);
  void HandleConnect(const std::error_code& error);
  /// Ends a stream's call without an answer; the outcome depends on `sent`.
  static void Fail(const Stream& stream, std::string detail);
  /// Ends a stream's call with its answer if that is whole and its own.
  void Accept(Stream& stream);
  void CheckPing(heatherlever::Instant now);
  void CloseIfIdle(heatherlever::Instant now);

  std::map<std::int32_t, Stream> streams_;
  TimerHandle connect_deadline_;
  bool connected_ = false;
  bool retired_ = false;
  std::optional<heatherlever::Instant> ping_sent_;
  heatherlever::Instant last_used_{};
  // The end of the time in which idle PINGs are sent.
  heatherlever::Instant warm_until_{};
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_CLIENT_CONNECTION_H_
