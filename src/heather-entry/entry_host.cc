#include "heather-entry/entry_host.h"

#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

#include "heather-entry/active_config.h"
#include "heather-entry/admin_server.h"
#include "heather-entry/backend_client.h"
#include "heather-entry/caller_server.h"
#include "heather-entry/entry_metrics.h"
#include "heather-entry/entry_settings.h"
#include "heather-entry/gossip_codec.h"
#include "heather-entry/headroom_pace.h"
#include "heather-entry/lookup_ttl.h"
#include "heather-entry/membership_runner.h"
#include "heather-entry/newest_state.h"
#include "heather-entry/platform_agent.h"
#include "heather-entry/router.h"
#include "heatherlever/epoch_codec.h"
#include "heatherlever/gossip_entry.h"
#include "heatherlever/ipv4.h"
#include "heathernet/event_loop.h"
#include "heathernet/log.h"
#include "heathernet/peer_options.h"
#include "heathernet/peer_transport.h"

namespace heather_entry {

using heatherlever::ConfigRecord;
using heatherlever::EpochRecord;
using heatherlever::GossipEntry;
using heatherlever::HostRecord;
using heatherlever::Instant;
using heathernet::EventLoop;
using heathernet::PartLogger;

namespace {

// Between a host's announcement that it leaves and the end of its callers'
// port. A connection that arrives just as the port closes is reset, so that the
// port stays open until no cached look-up names this host any more.
constexpr heatherlever::Duration kLeaveNotice =
    kLookupTtl + std::chrono::seconds(1);
constexpr heatherlever::Duration kIdleCheck = std::chrono::milliseconds(50);
constexpr std::chrono::seconds kDumpTimeout(1);
constexpr heatherlever::Duration kRefreshInterval =
    std::chrono::milliseconds(250);
constexpr std::int64_t kMicrosPerMilli = 1000;

// The configuration in force, that of the epoch, and those just before.
constexpr std::size_t kConfigsKept = 4;

constexpr char kMembershipPath[] = "/peer/membership";
constexpr char kNewestPath[] = "/peer/newest";
constexpr int kStatusOk = 200;
constexpr heatherlever::Duration kSeedInterval = std::chrono::seconds(1);

// Keys of the values that hosts spread among themselves.
constexpr char kConfigKey[] = "config";
constexpr char kEpochKey[] = "epoch";

// Differs at each start of the process and grows: milliseconds since 1970.
std::uint64_t NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

template <typename T>
T ValueOrThrow(absl::StatusOr<T> result) {
  if (!result.ok()) {
    throw std::runtime_error(std::string(result.status().message()));
  }
  return *std::move(result);
}

std::unique_ptr<heathernet::PeerTransport> MakePeers(
    EventLoop& loop,
    const EntrySettings& settings) {
  heathernet::PeerOptions options;
  options.address = settings.address;
  options.port = settings.peer_port;
  return ValueOrThrow(heathernet::PeerTransport::Create(loop, options));
}

}  // namespace

class EntryHost::Impl {
 public:
  explicit Impl(const EntrySettings& settings)
      : settings_(settings),
        incarnation_(NewIncarnation()),
        backends_(settings.backend_threads, settings.connection_doubt),
        peers_(MakePeers(loop_, settings)),
        router_(loop_, *peers_, backends_, settings, incarnation_),
        callers_(std::make_unique<CallerServer>(settings, router_, metrics_)),
        admin_(std::make_unique<AdminServer>(settings.address,
                                             settings.admin_port,
                                             MakeSources())),
        agent_(ValueOrThrow(PlatformAgent::Create(settings, Self()))),
        membership_(loop_, *peers_, Self(), MakeMembershipEvents()) {
    peers_->SetHandler([this](const heathernet::PeerRequest& request,
                              const heathernet::PeerResponder& responder) {
      if (request.path == kMembershipPath) {
        membership_.OnPeerRequest(request, responder);
      } else if (request.path == kNewestPath) {
        responder.Respond({kStatusOk, {}, newest_.Encode()});
      } else {
        router_.OnPeerRequest(request, responder);
      }
    });
    membership_.Start();
    Refresh();
    AskSeeds();
  }

  void Run() {
    agent_->Start([this](const ConfigRecord& record) { PostConfig(record); },
                  [this](const EpochRecord& epoch, const ConfigRecord& record) {
                    PostEpoch(epoch, record);
                  },
                  [this](const std::vector<HostRecord>& hosts) {
                    loop_.Post([this, hosts] {
                      list_read_ = true;
                      membership_.OnHostList(hosts);
                    });
                  });
    loop_.Run();
    callers_.reset();
    agent_->Stop();
    PartLogger("entry")->info("stopped");
  }

  void Shutdown() {
    loop_.Post([this] { BeginShutdown(); });
  }

  std::uint16_t http_port() const { return callers_->port(); }
  std::uint16_t peer_port() const { return peers_->address().port; }
  std::uint16_t admin_port() const { return admin_->port(); }

 private:
  HostRecord Self() const {
    HostRecord self;
    self.name = settings_.name;
    self.incarnation = incarnation_;
    self.address = settings_.address;
    self.http_port = callers_->port();
    self.peer_port = peers_->address().port;
    self.region = settings_.region;
    self.domain = settings_.domain;
    return self;
  }

  AdminServer::Sources MakeSources() {
    AdminServer::Sources sources;
    sources.state = [this] {
      return OnLoop<std::string>([this] { return DumpState(); });
    };
    sources.metrics = [this] { return metrics_.Text(); };
    sources.explain = [this](const std::string& kind,
                             const std::string& address) {
      return OnLoop<std::vector<std::string>>([this, kind, address] {
        return router_.Explain(kind,
                               heatherlever::ParseIpv4(address).value_or(0));
      });
    };
    return sources;
  }

  // The router's state and the bytes of the peers' connections since the start.
  std::string DumpState() const {
    nlohmann::json state = router_.State();
    const heathernet::PeerStats& stats = peers_->stats();
    state["peer_bytes_in"] = stats.bytes_in;
    state["peer_bytes_out"] = stats.bytes_out;
    state["peer_connections"] = stats.open_incoming + stats.open_outgoing;
    return state.dump(2);
  }

  // Runs `function` on the loop thread and returns its result; an empty one if
  // the loop does not get to it in time.
  template <typename T>
  T OnLoop(std::function<T()> function) {
    auto promise = std::make_shared<std::promise<T>>();
    auto result = promise->get_future();
    loop_.Post([promise, function = std::move(function)] {
      promise->set_value(function());
    });
    if (result.wait_for(kDumpTimeout) != std::future_status::ready) {
      return T();
    }
    return result.get();
  }

  MembershipRunner::Events MakeMembershipEvents() {
    MembershipRunner::Events events;
    events.member_changed = [this](const heatherlever::MemberRecord& record,
                                   heatherlever::MemberState state) {
      PartLogger("membership")
          ->info("{} is {}", record.id, MemberStateName(state));
      router_.OnMember(record, state);
    };
    events.entry_changed = [this](const GossipEntry& entry) {
      OnGossip(entry);
    };
    events.own_pause = [this](heatherlever::Duration length) {
      PartLogger("membership")
          ->warn("this process stood still for {} ms",
                 length.count() / kMicrosPerMilli);
      router_.OnOwnPause();
    };
    events.superseded = [this] {
      PartLogger("membership")->error("a later start of this host runs");
      BeginShutdown();
    };
    return events;
  }

  // A configuration or an epoch that the store or a peer has. Both spread on to
  // the peers, so that they reach every host while the store is down.
  void PostConfig(const ConfigRecord& record) {
    loop_.Post([this, record] { TakeConfig(record); });
  }

  void PostEpoch(const EpochRecord& epoch, const ConfigRecord& record) {
    loop_.Post([this, epoch, record] {
      TakeConfig(record);
      TakeEpoch(epoch);
    });
  }

  void TakeConfig(const ConfigRecord& record) {
    if (configs_.count(record.version) != 0) {
      return;
    }
    auto config = MakeActiveConfig(record);
    if (!config.ok()) {
      PartLogger("config")->error("version {} is not usable: {}",
                                  record.version,
                                  std::string(config.status().message()));
      return;
    }
    configs_[record.version] = {record, *config};
    while (configs_.size() > kConfigsKept) {
      configs_.erase(configs_.begin());
    }
    if (!newest_.config || newest_.config->version < record.version) {
      newest_.config = record;
    }
    router_.InstallConfig(*config);
    membership_.Publish({kConfigKey, static_cast<std::uint64_t>(record.version),
                         EncodeConfig(record), true});
    if (waiting_epoch_) {
      TakeEpoch(EpochRecord(*waiting_epoch_));
    }
  }

  // An epoch waits until the configuration that it names is known.
  void TakeEpoch(const EpochRecord& epoch) {
    if (newest_.epoch && epoch.number <= newest_.epoch->number) {
      return;
    }
    const auto config = configs_.find(epoch.config_version);
    if (config == configs_.end()) {
      waiting_epoch_ = epoch;
      return;
    }
    waiting_epoch_.reset();
    router_.InstallEpoch(epoch, config->second.active);
    newest_.epoch = epoch;
    newest_.epoch_config = config->second.record;
    if (!list_read_) {
      membership_.OnHostList(epoch.members);
    }
    membership_.SetWatched(router_.JobPartners());
    membership_.Publish(
        {kEpochKey, epoch.number, heatherlever::EncodeEpoch(epoch), true});
  }

  void OnGossip(const GossipEntry& entry) {
    if (entry.key == kConfigKey) {
      if (const auto record = DecodeConfig(entry.payload)) {
        TakeConfig(*record);
      }
    } else if (entry.key == kEpochKey) {
      const auto epoch = heatherlever::DecodeEpoch(entry.payload);
      if (epoch.ok()) {
        TakeEpoch(*epoch);
      }
    } else if (const auto pool = PoolOfKey(entry.key)) {
      if (const auto report = DecodeHeadroom(entry.payload)) {
        router_.OnHeadroom(*pool, *report);
      }
    }
  }

  // A host that starts while the platform does not answer learns from its
  // peers what is in force.
  void AskSeeds() {
    if (newest_.epoch) {
      return;
    }
    for (const heathernet::PeerAddress& seed : settings_.seeds) {
      heathernet::PeerRequest request;
      request.path = kNewestPath;
      peers_->Call(seed, std::move(request),
                   [this](const heathernet::PeerResult& result) {
                     const auto newest = NewestState::Decode(result.body);
                     if (newest.config) {
                       TakeConfig(*newest.config);
                     }
                     if (newest.epoch_config) {
                       TakeConfig(*newest.epoch_config);
                     }
                     if (newest.epoch) {
                       TakeEpoch(*newest.epoch);
                     }
                   });
    }
    loop_.After(kSeedInterval, [this] { AskSeeds(); });
  }

  void Refresh() {
    router_.Refresh();
    agent_->SetHeardHosts(router_.HeardMembers());
    for (const auto& [pool, report] : router_.OwnHeadroom()) {
      router_.OnHeadroom(pool, report);
      const std::string payload = EncodeHeadroom(report);
      if (headroom_pace_.Due(pool, payload, EventLoop::Now())) {
        membership_.Publish({PoolKey(pool), NewIncarnation(), payload, false});
      }
    }
    loop_.After(kRefreshInterval, [this] { Refresh(); });
  }

  void BeginShutdown() {
    if (leaving_) {
      return;
    }
    leaving_ = true;
    PartLogger("entry")->info("leaving");
    stop_by_ = EventLoop::Now() + settings_.shutdown_limit;
    agent_->Leave();
    membership_.AnnounceLeaving();
    router_.Leave();
    loop_.After(kLeaveNotice, [this] {
      // Peers are still served: the homes that follow ask this host for the
      // records of its jobs.
      callers_->StopAccepting();
      StopWhenIdle();
    });
  }

  void StopWhenIdle() {
    const bool idle = router_.idle() && callers_->in_progress() == 0;
    if (idle || EventLoop::Now() >= stop_by_) {
      loop_.Stop();
      return;
    }
    loop_.After(kIdleCheck, [this] { StopWhenIdle(); });
  }

  struct KnownConfig {
    ConfigRecord record;
    std::shared_ptr<const ActiveConfig> active;
  };

  const EntrySettings settings_;
  const std::uint64_t incarnation_;
  EventLoop loop_;
  BackendClient backends_;
  std::unique_ptr<heathernet::PeerTransport> peers_;
  Router router_;
  EntryMetrics metrics_;
  std::unique_ptr<CallerServer> callers_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<PlatformAgent> agent_;
  MembershipRunner membership_;
  std::map<std::int64_t, KnownConfig> configs_;
  std::optional<EpochRecord> waiting_epoch_;
  NewestState newest_;
  HeadroomPace headroom_pace_;
  bool list_read_ = false;
  bool leaving_ = false;
  Instant stop_by_{0};
};

EntryHost::EntryHost(const EntrySettings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

EntryHost::~EntryHost() = default;

void EntryHost::Run() {
  impl_->Run();
}

void EntryHost::Shutdown() {
  impl_->Shutdown();
}

std::uint16_t EntryHost::http_port() const {
  return impl_->http_port();
}

std::uint16_t EntryHost::peer_port() const {
  return impl_->peer_port();
}

std::uint16_t EntryHost::admin_port() const {
  return impl_->admin_port();
}

}  // namespace heather_entry
