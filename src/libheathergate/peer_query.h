#ifndef LIBHEATHERGATE_PEER_QUERY_H_
#define LIBHEATHERGATE_PEER_QUERY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "heathergate/http_client.h"
#include "heathergate/timer.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

struct RelayResponse;

/// Asks other hosts in turn for news that are newer than the own, while this
/// host has no way to get them otherwise.
class PeerQuery {
 public:
  /// The body of the next question.
  using MakeBody = std::function<std::string()>;
  using OnResponse = std::function<void(const RelayResponse&)>;

  static constexpr const char* kPath = "/news";

  PeerQuery(heathernet::EventLoop& loop, MakeBody question, OnResponse news);
  ~PeerQuery();

  /// The hosts to ask, in this order.
  void SetPeers(std::vector<HttpPeer> peers);

  /// Starts asking, or ends it.
  void SetActive(bool active);

 private:
  void SendQuery();
  void OnDone(const std::string& peer, const CallResult& result);
  void ScheduleQuery();

  MakeBody make_body_;
  OnResponse on_response_;
  HttpClient client_;
  Timer timer_;
  std::vector<HttpPeer> peers_;
  std::size_t next_ = 0;
  std::shared_ptr<HttpCall> call_;
  bool active_ = false;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_PEER_QUERY_H_
