#ifndef LIBHEATHERGATE_FORWARDED_REQUEST_H_
#define LIBHEATHERGATE_FORWARDED_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "heathergate/buffer_hold.h"
#include "heathergate/http_call.h"
#include "heathergate/http_response.h"
#include "heathergate/timer.h"
#include "heatherlever/instant.h"
#include "heathersteer/attempt_policy.h"
#include "heathersteer/host_registration.h"
#include "heathersteer/placement.h"
#include "heathersteer/server_state.h"
#include "heathersteer/traffic_config.h"

namespace heathernet {
class EventLoop;
}  // namespace heathernet

namespace heathergate {

class Gateway;
class HttpExchange;
struct HttpPeer;

/// Reason that is logged for requests that a stopping host ends.
inline constexpr const char* kStoppingReason = "the host is stopping";

/// One caller's request on its way through the gateway.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(Gateway& gateway,
                   heathernet::EventLoop& loop,
                   std::shared_ptr<HttpExchange> exchange,
                   std::shared_ptr<const heathersteer::TrafficConfig> config,
                   const heathersteer::Route& route,
                   const heathersteer::Service& service);

  void Start();

  /// Sends the request to a server with free capacity. Returns false if there
  /// is none.
  bool TryPlace();

  /// As TryPlace(), for a queued request. Ends it if all servers want none for
  /// longer than it may be queued.
  void TryPlaceQueued();

  /// Name of the service that it goes to.
  const std::string& service() const { return service_.name; }

  /// Places the request, which waited for the end of a hold.
  void OnHoldEnded() { PlaceOrEnqueue(); }

  /// Ends the request if it waits for a server.
  void EndIfWaiting();

  /// Ends the request as the process ends.
  void EndForStop();

 private:
  void Place();
  void PlaceOrEnqueue();
  // Waits for a place, at most as long as the route allows.
  void Enqueue();
  void OnQueueTimeout();
  // Passes the request on to another host, which reaches the servers.
  void Detour();
  void SendDetour(const heathersteer::HostRegistration& host);
  void OnDetourDone(const std::string& host, CallResult result);
  void DeliverDetour(CallResult result);
  // Ends the request, for which no server was found. `available_in` is the time
  // until servers may be sent requests again, 0 if it isn't known.
  void EndUnplaced(const char* reason,
                   heatherlever::Duration available_in = {});
  // Ends the request if all servers want none for longer than it may be queued.
  // Returns whether it was ended.
  bool EndBackedOff();
  void Send(std::shared_ptr<heathersteer::ServerState> server);
  // Returns a head with the time that is left, unless none is left or the event
  // loop was paused since the server was chosen.
  std::optional<std::string> MakeHead(const HeaderField& target) const;
  std::shared_ptr<HttpCall> SendTo(const HttpPeer& peer,
                                   HeaderField target,
                                   std::string barrier_head,
                                   HttpCall::Done done);
  // Head of the request that confirms unidentified responses of a server; empty
  // if its service has no path for that.
  std::string MakeBarrierHead(const heathersteer::BackendServer& target) const;
  void OnCallDone(CallResult result);
  heathersteer::AttemptOutcome ClassifyResult(const CallResult& result) const;
  void ObserveRateLimit(const CallResult& result, heatherlever::Instant now);
  void ObserveLeaving(const CallResult& result, heatherlever::Instant now);
  // Records for how long a server that rejected the request wants no more.
  void ObserveBackoff(const CallResult& result, heatherlever::Instant now);
  // Takes over what another host returned about the server that responded.
  void ObserveLeavingElsewhere(const HttpHead& head);
  std::uint64_t Fingerprint();
  // Ends the request if it is quarantined. Returns whether it was.
  bool EndQuarantined();
  void RecordCrash();
  void RecordCompletion();
  void UpdateServerHealth(const CallResult& result,
                          heathersteer::AttemptOutcome outcome);
  void Proceed(heathersteer::NextStep step, CallResult result);
  void Retry(CallResult result);
  // Keeps a server's failure in case no other server answers.
  void KeepFailure(CallResult result);
  // A server's response as its caller gets it.
  HttpResponse ResponseOf(CallResult result) const;
  // Adds the fields of `head` that are passed on, but `dropped_field`.
  void AddFields(const HttpHead& head,
                 const std::string& dropped_field,
                 HttpResponse& response) const;
  void Deliver(CallResult result);
  // `server_status` is the one that the server has given.
  void DeliverResponse(HttpResponse response, int server_status);
  void Reject(const char* reason, heatherlever::Duration available_in = {});
  // Passes on the failure of a server if there is one, else `status`.
  void Fail(int status, const char* reason);
  void OnDeadline();
  // Ends the request if its deadline has passed. Returns whether it has.
  bool EndExpired();
  void OnAbandoned();
  void Finish(HttpResponse response, const char* reason);
  void End();
  void ReleaseServer();
  void Log(int status, const char* reason) const;
  void LogNoCapacity() const;
  void ObserveShift(const heathersteer::PlacementChoice& choice,
                    heatherlever::Instant now);

  Gateway& gateway_;
  std::shared_ptr<HttpExchange> exchange_;
  // Keeps route_ and service_ alive.
  std::shared_ptr<const heathersteer::TrafficConfig> config_;
  const heathersteer::Route& route_;
  const heathersteer::Service& service_;
  heathersteer::AttemptPolicy policy_;
  std::string id_;
  std::string affinity_key_;
  // Computed when it is needed.
  std::optional<std::uint64_t> fingerprint_;
  heatherlever::Instant caller_deadline_{0};
  heatherlever::Instant deadline_{0};
  Timer deadline_timer_;
  Timer queue_timer_;
  std::uint64_t ticket_ = 0;
  std::shared_ptr<HttpCall> call_;
  std::shared_ptr<heathersteer::ServerState> server_;
  heatherlever::Instant sent_at_{0};
  // Whether the server was cold when it was chosen.
  bool server_was_cold_ = false;
  std::vector<std::string> tried_;
  // Response of a server that failed, while the request is sent to another.
  std::optional<CallResult> failure_;
  std::string failed_server_;
  BufferHold failure_hold_;
  // Names the server that responded last if it states that it is leaving.
  std::string leaving_server_;
  // Whether another host has passed the request on.
  const bool detoured_;
  // Hosts to which the request was passed on.
  std::vector<std::string> detour_hosts_;
  // Result of the last placement attempt that found no free capacity.
  heathersteer::PlacementChoice last_choice_;
  // Whether the shift limiter has counted this request's demand.
  bool shift_observed_ = false;
  bool ended_ = false;
};

}  // namespace heathergate

#endif  // LIBHEATHERGATE_FORWARDED_REQUEST_H_
