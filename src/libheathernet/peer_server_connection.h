#ifndef HEATHERNET_PEER_SERVER_CONNECTION_H_
#define HEATHERNET_PEER_SERVER_CONNECTION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "heathernet/peer_request.h"
#include "heathernet/peer_responder.h"
#include "heathernet/peer_response.h"
#include "http2_connection.h"

namespace heathernet {

/// A connection from a peer, with the requests in progress on it.
class PeerServerConnection : public Http2Connection {
 public:
  static std::shared_ptr<PeerServerConnection> Accept(
      const std::shared_ptr<PeerContext>& context,
      Socket socket);

  /// Sends a handler's answer, if its stream is still open.
  void Answer(std::int32_t stream, PeerResponse response);

  /// Refuses new requests; closes once those in progress have ended.
  void Drain();

 protected:
  void OnBeginHeaders(std::int32_t stream) override;
  void OnHeader(std::int32_t stream,
                std::string_view name,
                std::string_view value) override;
  void OnData(std::int32_t stream, std::string_view bytes) override;
  void OnFrame(const nghttp2_frame& frame) override;
  void OnStreamClosed(std::int32_t stream, std::uint32_t error_code) override;
  OutgoingBody* FindOutgoingBody(std::int32_t stream) override;
  void OnTick(heatherlever::Instant now) override;
  void OnClosed() override;

 private:
  struct Stream {
    PeerRequest request;
    std::string method;
    std::string exchange_id;
    std::string content_length;
    std::size_t header_bytes = 0;
    // Bytes counted in PeerContext::buffered_request_bytes.
    std::size_t buffered = 0;
    TimerHandle receive_deadline;
    // Expired before the handler is called and after it let go.
    std::weak_ptr<PeerResponder::State> responder;
    OutgoingBody answer_body;
  };

  PeerServerConnection(std::shared_ptr<PeerContext> context, Socket socket);

  std::shared_ptr<PeerServerConnection> self();
  void StartReceiving();
  /// Resets a stream that the handler has not seen, as not processed.
  void Refuse(std::int32_t stream);
  /// Takes a stream out of streams_ and of the count of buffered bytes.
  Stream Remove(std::map<std::int32_t, Stream>::iterator position);
  void TakeHeader(Stream& stream,
                  std::string_view name,
                  std::string_view value);
  static bool IsWhole(const Stream& stream);
  /// Hands a whole request to the handler.
  void Dispatch(std::int32_t id, Stream& stream);
  void Cancel(const Stream& stream);

  std::map<std::int32_t, Stream> streams_;
  heatherlever::Instant accepted_at_{};
  bool handshake_done_ = false;
};

}  // namespace heathernet

#endif  // HEATHERNET_PEER_SERVER_CONNECTION_H_
