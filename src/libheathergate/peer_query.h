#ifndef LIBHEATHERGATE_PEER_QUERY_H_
#define LIBHEATHERGATE_PEER_QUERY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "heathergate/http_client.h"
#include "heathergate/response_timer.h"
#include "heathergate/timer.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

struct RelayResponse;

/// Queries other hosts in turn for newer state than this host has, while this
/// host can't get updates otherwise.
class PeerQuery {
 public:
  /// Makes the body of the next query.
  using MakeBody = std::function<std::string()>;
  using OnResponse = std::function<void(const RelayResponse&)>;

  static constexpr const char* kPath = "/news";

  PeerQuery(heathernet::EventLoop& loop,
            MakeBody make_body,
            OnResponse on_response);
  ~PeerQuery();

  /// Sets the hosts to query, in this order.
  void SetPeers(std::vector<HttpPeer> peers);

  /// Starts or stops sending queries.
  void SetActive(bool active);

 private:
  void SendQuery();
  void OnDone(const std::string& peer, const CallResult& result);
  void ScheduleQuery();

  MakeBody make_body_;
  OnResponse on_response_;
  HttpClient client_;
  Timer timer_;
  ResponseTimer response_timer_;
  std::vector<HttpPeer> peers_;
  std::size_t next_ = 0;
  std::shared_ptr<HttpCall> call_;
  heatherlever::Instant sent_at_{0};
  bool active_ = false;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_PEER_QUERY_H_
