#ifndef HEATHER_ENTRY_MEMBERSHIP_RUNNER_H_
#define HEATHER_ENTRY_MEMBERSHIP_RUNNER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/host_record.h"
#include "heatherlever/member_record.h"
#include "heatherlever/membership_action.h"
#include "heathernet/timer_handle.h"

namespace heatherlever {
class Membership;
}

namespace heathernet {
class EventLoop;
class PeerResponder;
class PeerTransport;
struct PeerRequest;
struct PeerResult;
}  // namespace heathernet

namespace heather_entry {

/// Runs this host's membership over the peer transport: probes, news of other
/// hosts, and the values that hosts spread among themselves. Used on the loop
/// thread.
class MembershipRunner {
 public:
  /// What the rest of the process wants to hear.
  struct Events {
    std::function<void(const heatherlever::MemberRecord&,
                       heatherlever::MemberState)>
        member_changed;
    std::function<void(const heatherlever::GossipEntry&)> entry_changed;
    /// This process did not run for a while.
    std::function<void(heatherlever::Duration)> own_pause;
    /// A later start of this host is running.
    std::function<void()> superseded;
  };

  /// Throws std::runtime_error for an unusable `self`.
  MembershipRunner(heathernet::EventLoop& loop,
                   heathernet::PeerTransport& peers,
                   const heatherlever::HostRecord& self,
                   Events events);
  ~MembershipRunner();

  /// Starts to probe.
  void Start();

  void OnHostList(const std::vector<heatherlever::HostRecord>& hosts);

  /// Serves a peer's message.
  void OnPeerRequest(const heathernet::PeerRequest& request,
                     const heathernet::PeerResponder& responder);

  /// Spreads a value; a version that is not above the known one has no effect.
  void Publish(const heatherlever::GossipEntry& entry);

  /// Hosts whose silence has to be noticed soon.
  void SetWatched(const std::set<std::string>& names);

  void AnnounceLeaving();

 private:
  void Tick();
  void Run(const heatherlever::MembershipActions& actions);
  void Send(const heatherlever::SendMembershipMessage& action);
  void OnAnswer(const heathernet::PeerResult& result);

  heathernet::EventLoop& loop_;
  heathernet::PeerTransport& peers_;
  Events events_;
  std::unique_ptr<heatherlever::Membership> membership_;
  heathernet::TimerHandle timer_;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_MEMBERSHIP_RUNNER_H_
