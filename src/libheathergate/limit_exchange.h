#ifndef LIBHEATHERGATE_LIMIT_EXCHANGE_H_
#define LIBHEATHERGATE_LIMIT_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "heathergate/http_client.h"
#include "heatherlever/instant.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathersteer {
struct HostRegistration;
}  // namespace heathersteer

namespace heathergate {

/// Sends what this host's domain knows of rate limits, demand and requests that
/// crash servers to the relay of each other domain, or what this host knows to
/// the relay of its domain.
class LimitExchange {
 public:
  static constexpr const char* kPath = "/limits";

  /// Called with the body of a response that is not empty.
  using OnReply = std::function<void(const std::string& body)>;

  LimitExchange(heathernet::EventLoop& loop, OnReply on_reply);
  ~LimitExchange();

  /// Sets the registered hosts; those of the domain of `self` are left out.
  void SetHosts(const heathersteer::HostRegistration& self,
                std::vector<heathersteer::HostRegistration> hosts);

  /// Sends `body` to a host of each other domain. A host that does not respond
  /// in time, or is not the relay of its domain, is replaced by another one.
  /// While a response is awaited, only the newest body waits.
  void Send(const std::string& body);

  /// Sends `body` to the relay of this host's domain.
  void SendToRelay(const HttpPeer& relay, const std::string& body);

 private:
  struct Destination {
    // In the order of their registrations: usually the first one is the relay.
    std::vector<HttpPeer> hosts;
    std::size_t current = 0;
    std::shared_ptr<HttpCall> call;
    heatherlever::Instant sent_at{0};
    std::string body;
    bool redirected = false;
    std::string next_body;
  };

  void SendBody(Destination& destination, const std::string& body);
  void StartCall(Destination& destination);
  void OnDone(Destination& destination, const CallResult& result);
  static bool FollowRedirect(Destination& destination,
                             const CallResult& result);

  HttpClient client_;
  OnReply on_reply_;
  std::map<std::string, Destination> domains_;
  Destination relay_;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_LIMIT_EXCHANGE_H_
