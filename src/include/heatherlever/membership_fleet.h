#ifndef HEATHERLEVER_MEMBERSHIP_FLEET_H_
#define HEATHERLEVER_MEMBERSHIP_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "heatherlever/membership.h"

namespace heatherlever {

/// Several Membership objects that exchange encoded messages in virtual time,
/// for tests and measurements.
class MembershipFleet {
 public:
  /// What one host has exchanged. A call and its answer are two messages.
  struct Traffic {
    std::uint64_t calls_sent = 0;
    std::uint64_t calls_received = 0;
    /// Connections for these calls, if each is kept for 30 s without a call.
    std::uint64_t connects_sent = 0;
    std::uint64_t connects_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
  };
  using ActionSink =
      std::function<void(const std::string& host, const MembershipAction&)>;

  MembershipFleet(const MembershipOptions& options, std::uint64_t seed);
  ~MembershipFleet();
  MembershipFleet(const MembershipFleet&) = delete;
  MembershipFleet& operator=(const MembershipFleet&) = delete;

  /// Sees every action but the sending of messages.
  void set_action_sink(ActionSink sink) { sink_ = std::move(sink); }

  /// Starts a host that is on the platform's list.
  void Add(const std::string& id,
           const std::string& region,
           const std::string& failure_domain);

  /// Gives the platform's list to every running host.
  void DeliverList();

  /// Ends a host's process without notice.
  void Kill(const std::string& id);
  /// Ends a host's process, if it runs, and starts it anew with the next
  /// incarnation.
  void Restart(const std::string& id);
  /// Stops a host's process until Thaw(); messages to it wait.
  void Freeze(const std::string& id);
  void Thaw(const std::string& id);
  /// The host announces that it is leaving. No effect while it does not run.
  void Leave(const std::string& id);
  /// Takes a host off the platform's list, or marks it as leaving there.
  void Unlist(const std::string& id);
  void ListAsLeaving(const std::string& id);
  /// Loses every message from one host to another.
  void Cut(const std::string& from, const std::string& to);
  void Heal(const std::string& from, const std::string& to);

  void Watch(const std::string& id, const std::set<std::string>& watched);
  void Publish(const std::string& id, const GossipEntry& entry);

  void RunFor(Duration duration);
  Instant now() const { return now_; }

  /// The running process of a host; null if it does not run.
  const Membership* Find(const std::string& id) const;

  /// States of all hosts as `id` sees them. Empty if it does not run.
  std::map<std::string, MemberState> View(const std::string& id) const;

  const Traffic& traffic(const std::string& id) const;
  void ResetTraffic();

 private:
  struct Host;
  struct Event {
    Instant at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  Host& At(const std::string& id);
  void Schedule(Duration delay, std::function<void()> run);
  void ScheduleTick(const std::string& id, std::uint64_t incarnation);
  void StartProcess(Host& host);
  void Deliver(const std::string& from,
               const std::string& to,
               const std::string& bytes);
  void CountCall(Host& from, Host& to);
  void Receive(Host& host, const std::string& bytes);
  /// Carries out actions. `answering` names the host whose call they answer.
  void Apply(Host& host,
             const MembershipActions& actions,
             const std::string& answering);
  Duration Latency(const Host& from, const Host& to) const;
  std::vector<ListedHost> List() const;

  MembershipOptions options_;
  std::mt19937_64 random_;
  ActionSink sink_;
  std::map<std::string, std::unique_ptr<Host>> hosts_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 0;
  Instant now_{};
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_MEMBERSHIP_FLEET_H_
