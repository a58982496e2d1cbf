#include "heather-entry/membership_runner.h"

#include <stdexcept>
#include <utility>

#include "heatherlever/listed_host.h"
#include "heatherlever/membership.h"
#include "heatherlever/membership_options.h"
#include "heathernet/event_loop.h"
#include "heathernet/peer_transport.h"

namespace heather_entry {

using heatherlever::Membership;
using heatherlever::MembershipActions;
using heathernet::EventLoop;

namespace {

constexpr char kPath[] = "/peer/membership";

// Of a call; a host that answers later than this is as good as silent.
constexpr heatherlever::Duration kTimeout = std::chrono::milliseconds(800);
constexpr int kStatusBadRequest = 400;

heatherlever::MemberRecord ToMember(const heatherlever::HostRecord& host) {
  heatherlever::MemberRecord member;
  member.id = host.name;
  member.region = host.region;
  member.failure_domain = host.domain;
  member.ip = host.address;
  member.port = host.peer_port;
  member.version.incarnation = host.incarnation;
  member.version.state = heatherlever::MemberState::kAlive;
  return member;
}

std::unique_ptr<Membership> MakeMembership(
    const heatherlever::HostRecord& self) {
  auto membership =
      Membership::Create(heatherlever::MembershipOptions(), ToMember(self),
                         self.incarnation, EventLoop::Now());
  if (!membership.ok()) {
    throw std::runtime_error(std::string(membership.status().message()));
  }
  return *std::move(membership);
}

// Runs the event function that belongs to an action.
struct EventVisitor {
  const MembershipRunner::Events& events;

  void operator()(const heatherlever::SendMembershipMessage&) const {}
  void operator()(const heatherlever::ReachabilityChanged&) const {}
  void operator()(const heatherlever::MemberChanged& action) const {
    events.member_changed(action.record, action.state);
  }
  void operator()(const heatherlever::EntryChanged& action) const {
    events.entry_changed(action.entry);
  }
  void operator()(const heatherlever::OwnPause& action) const {
    events.own_pause(action.length);
  }
  void operator()(const heatherlever::Superseded&) const {
    events.superseded();
  }
};

}  // namespace

MembershipRunner::MembershipRunner(EventLoop& loop,
                                   heathernet::PeerTransport& peers,
                                   const heatherlever::HostRecord& self,
                                   Events events)
    : loop_(loop),
      peers_(peers),
      events_(std::move(events)),
      membership_(MakeMembership(self)) {}

MembershipRunner::~MembershipRunner() = default;

void MembershipRunner::Start() {
  timer_ = loop_.After(Membership::kTickInterval, [this] { Tick(); });
}

void MembershipRunner::Tick() {
  Run(membership_->OnTick(EventLoop::Now()));
  Start();
}

void MembershipRunner::OnHostList(
    const std::vector<heatherlever::HostRecord>& hosts) {
  std::vector<heatherlever::ListedHost> listed;
  for (const heatherlever::HostRecord& host : hosts) {
    listed.push_back({host.name, host.region, host.domain, host.address,
                      host.peer_port, host.leaving});
  }
  Run(membership_->OnHostList(listed, EventLoop::Now()));
}

void MembershipRunner::OnPeerRequest(
    const heathernet::PeerRequest& request,
    const heathernet::PeerResponder& responder) {
  const auto message = heatherlever::DecodeMembershipMessage(request.body);
  if (!message.ok()) {
    responder.Respond({kStatusBadRequest, {}, "not a membership message"});
    return;
  }
  MembershipActions actions =
      membership_->OnMessage(*message, EventLoop::Now());
  heathernet::PeerResponse answer;
  for (auto action = actions.begin(); action != actions.end(); ++action) {
    const auto* send =
        std::get_if<heatherlever::SendMembershipMessage>(&*action);
    if (send != nullptr && send->to == message->sender) {
      answer.body = heatherlever::EncodeMembershipMessage(send->message);
      actions.erase(action);
      break;
    }
  }
  responder.Respond(std::move(answer));
  Run(actions);
}

void MembershipRunner::Publish(const heatherlever::GossipEntry& entry) {
  Run(membership_->Publish(entry, EventLoop::Now()));
}

void MembershipRunner::SetWatched(const std::set<std::string>& names) {
  membership_->SetWatched(names, EventLoop::Now());
}

void MembershipRunner::AnnounceLeaving() {
  Run(membership_->AnnounceLeaving(EventLoop::Now()));
}

void MembershipRunner::Run(const MembershipActions& actions) {
  for (const heatherlever::MembershipAction& action : actions) {
    if (const auto* send =
            std::get_if<heatherlever::SendMembershipMessage>(&action)) {
      Send(*send);
    } else {
      std::visit(EventVisitor{events_}, action);
    }
  }
}

void MembershipRunner::Send(const heatherlever::SendMembershipMessage& action) {
  if (action.ip.empty()) {
    return;
  }
  heathernet::PeerRequest request;
  request.path = kPath;
  request.body = heatherlever::EncodeMembershipMessage(action.message);
  request.timeout = kTimeout;
  request.background = true;
  peers_.Call(
      {action.ip, action.port}, std::move(request),
      [this](const heathernet::PeerResult& result) { OnAnswer(result); });
}

void MembershipRunner::OnAnswer(const heathernet::PeerResult& result) {
  if (result.outcome != heathernet::PeerOutcome::kAnswered ||
      result.body.empty()) {
    return;
  }
  const auto message = heatherlever::DecodeMembershipMessage(result.body);
  if (message.ok()) {
    Run(membership_->OnMessage(*message, EventLoop::Now()));
  }
}

}  // namespace heather_entry
